package io.figspan.core.error;

import java.util.Map;
import java.util.TreeMap;

/**
 * A problem document after RFC 9457 with the members {@code kind}, {@code detail}, {@code remedy}, {@code run} and
 * {@code retryAfterMs} (0 when waiting does not help).
 */
public record Problem(ProblemKind kind, String detail, RunState run, long retryAfterMs) {
    /** Media type of a problem document. */
    public static final String MEDIA_TYPE = "application/problem+json";

    public Problem {
        detail = detail == null ? kind.title() : detail;
        if (retryAfterMs < 0) {
            throw new FigspanException(ProblemKind.INVALID_VALUE, "retryAfterMs is negative", Location.of("problem"));
        }
    }

    /** A problem of a request of which nothing was run. */
    public static Problem notRun(ProblemKind kind, String detail) {
        return new Problem(kind, detail, RunState.NOT_RUN, 0);
    }

    public static Problem unknown(ProblemKind kind, String detail) {
        return new Problem(kind, detail, RunState.UNKNOWN, 0);
    }

    public Problem withRetryAfterMs(long newRetryAfterMs) {
        return new Problem(kind, detail, run, newRetryAfterMs);
    }

    public Problem withRun(RunState newRun) {
        return new Problem(kind, detail, newRun, retryAfterMs);
    }

    /** Value of the Retry-After header in whole seconds, rounded up; 0 means that the header is left out. */
    public long retryAfterSeconds() {
        return (retryAfterMs + 999) / 1000;
    }

    /** The members of the document, for a JSON writer. */
    public Map<String, Object> toMembers() {
        Map<String, Object> members = new TreeMap<>();
        members.put("type", "urn:figspan:problem:" + kind.wireName());
        members.put("title", kind.title());
        members.put("status", kind.httpStatus());
        members.put("kind", kind.wireName());
        members.put("detail", detail);
        members.put("remedy", kind.remedy());
        members.put("run", run.wireName());
        members.put("retryAfterMs", retryAfterMs);
        return members;
    }
}
