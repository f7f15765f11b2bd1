package io.figspan.cluster.message;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendIncarnation;

/**
 * The limit of requests that a backend server has named, and how many requests the sender has sent it since.
 *
 * @param isLimited whether the server limits its requests now
 * @param requestsPerSecond requests that it accepts from all hosts together; 0 if it has no limit
 * @param ageMs time since the server said so
 * @param sentCount requests that the sender has sent to the server; never decreases in one process
 */
public record ServerLimitUse(
        BackendIncarnation server, boolean isLimited, double requestsPerSecond, long ageMs, long sentCount) {
    public ServerLimitUse {
        boolean isRate = requestsPerSecond >= 0 && requestsPerSecond < Double.POSITIVE_INFINITY;
        if (!isRate || ageMs < 0 || sentCount < 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "a number is negative or not finite", Location.of("server limit use"));
        }
    }
}
