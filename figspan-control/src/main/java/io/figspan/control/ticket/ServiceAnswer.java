package io.figspan.control.ticket;

/**
 * A service's answer, passed on unchanged.
 *
 * @param claimsNotRun the answer states that the service ran nothing; whether that is believed is a setting
 * @param bodyKept false when the body was too large to keep for later queries and is empty here
 */
public record ServiceAnswer(int status, String mediaType, AnswerBody body, boolean claimsNotRun, boolean bodyKept) {
    /** From this status on, the service says that it failed, and may have failed half way. */
    private static final int FIRST_SERVER_ERROR = 500;

    public static ServiceAnswer of(int status, String mediaType, AnswerBody body) {
        return new ServiceAnswer(status, mediaType, body, false, true);
    }

    public ServiceAnswer withClaimsNotRun(boolean newClaimsNotRun) {
        return new ServiceAnswer(status, mediaType, body, newClaimsNotRun, bodyKept);
    }

    /** This answer with an empty body. */
    public ServiceAnswer withoutBody() {
        return new ServiceAnswer(status, mediaType, AnswerBody.EMPTY, claimsNotRun, false);
    }

    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }
}
