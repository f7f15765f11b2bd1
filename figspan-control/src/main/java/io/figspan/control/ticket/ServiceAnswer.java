package io.figspan.control.ticket;

/**
 * Answer of a service, forwarded to the caller unchanged.
 *
 * @param claimsNotRun whether the answer states that the call was not run; the settings decide if that is trusted
 * @param bodyKept false if the body was too large to keep for later queries, and is therefore empty
 */
public record ServiceAnswer(int status, String mediaType, AnswerBody body, boolean claimsNotRun, boolean bodyKept) {
    /** Lowest HTTP status of a server error, after which the call may have run in part. */
    private static final int FIRST_SERVER_ERROR = 500;

    public static ServiceAnswer of(int status, String mediaType, AnswerBody body) {
        return new ServiceAnswer(status, mediaType, body, false, true);
    }

    public ServiceAnswer withClaimsNotRun(boolean newClaimsNotRun) {
        return new ServiceAnswer(status, mediaType, body, newClaimsNotRun, bodyKept);
    }

    /** Returns a copy with an empty body. */
    public ServiceAnswer withoutBody() {
        return new ServiceAnswer(status, mediaType, AnswerBody.EMPTY, claimsNotRun, false);
    }

    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }
}
