package io.figspan.cluster.message;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendIncarnation;

/**
 * How long a backend server stays cold, and how many requests the sender has sent it while it was cold.
 *
 * @param remainingMs time for which the server stays cold; 0 if it is warm
 * @param ageMs time since the server said so
 * @param sentCount requests that the sender has sent to the cold server; never decreases in one process
 */
public record ColdServerUse(BackendIncarnation server, long remainingMs, long ageMs, long sentCount) {
    public ColdServerUse {
        if (remainingMs < 0 || ageMs < 0 || sentCount < 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "a number is negative", Location.of("cold server use"));
        }
    }
}
