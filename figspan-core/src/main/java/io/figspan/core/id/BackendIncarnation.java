package io.figspan.core.id;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * One process lifetime of a backend server.
 *
 * @param number incarnation number reported by the backend server or the host list
 */
public record BackendIncarnation(BackendServerId server, long number) {
    public BackendIncarnation {
        if (server == null || number < 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE,
                    "backend incarnation needs a backend server and a number of at least 0",
                    Location.of("backend incarnation"));
        }
    }

    @Override
    public String toString() {
        return server + "@" + number;
    }
}
