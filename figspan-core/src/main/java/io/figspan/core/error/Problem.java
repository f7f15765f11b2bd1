package io.figspan.core.error;

import java.util.Map;
import java.util.TreeMap;

/**
 * A problem document as defined by RFC 9457, with the extension members {@code kind}, {@code remedy}, {@code run} and
 * {@code retryAfterMs}.
 *
 * @param detail explanation of this occurrence; defaults to the title of the kind
 * @param run whether the request was run
 * @param retryAfterMs time to wait before retrying, in milliseconds; 0 if waiting does not help
 */
public record Problem(ProblemKind kind, String detail, RunState run, long retryAfterMs) {
    /** Media type of a problem document in JSON. */
    public static final String MEDIA_TYPE = "application/problem+json";

    public Problem {
        detail = detail == null ? kind.title() : detail;
        if (retryAfterMs < 0) {
            throw new FigspanException(ProblemKind.INVALID_VALUE, "retryAfterMs is negative", Location.of("problem"));
        }
    }

    /** Creates a problem for a request that was not run and will not be. */
    public static Problem notRun(ProblemKind kind, String detail) {
        return new Problem(kind, detail, RunState.NOT_RUN, 0);
    }

    /** Creates a problem for a request that may or may not have been run. */
    public static Problem unknown(ProblemKind kind, String detail) {
        return new Problem(kind, detail, RunState.UNKNOWN, 0);
    }

    public Problem withRetryAfterMs(long newRetryAfterMs) {
        return new Problem(kind, detail, run, newRetryAfterMs);
    }

    public Problem withRun(RunState newRun) {
        return new Problem(kind, detail, newRun, retryAfterMs);
    }

    /** Returns the value of the Retry-After header in seconds, rounded up; 0 means that the header is omitted. */
    public long retryAfterSeconds() {
        return (retryAfterMs + 999) / 1000;
    }

    /** Returns the members of the JSON document, sorted by name. */
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
