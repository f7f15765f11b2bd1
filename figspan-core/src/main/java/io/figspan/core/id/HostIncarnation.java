package io.figspan.core.id;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * One process lifetime at a host seat. A later process at the same seat has a higher number, taken from the wall
 * clock at its start in milliseconds.
 */
public record HostIncarnation(HostId host, long number) {
    public HostIncarnation {
        if (host == null || number < 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE,
                    "host incarnation needs a host and a number of at least 0",
                    Location.of("host incarnation"));
        }
    }

    /** Parses the form written by {@link #toString()}. */
    public static HostIncarnation parse(String text) {
        int separator = text.lastIndexOf('@');
        if (separator < 0) {
            throw malformed(text);
        }
        try {
            return new HostIncarnation(
                    HostId.of(text.substring(0, separator)), Long.parseLong(text.substring(separator + 1)));
        } catch (NumberFormatException e) {
            throw malformed(text);
        }
    }

    /** Tells whether this is a later lifetime at the same seat. */
    public boolean supersedes(HostIncarnation other) {
        return host.equals(other.host) && number > other.number;
    }

    @Override
    public String toString() {
        return host + "@" + number;
    }

    private static FigspanException malformed(String text) {
        return new FigspanException(
                ProblemKind.INVALID_VALUE,
                "host incarnation '" + text + "' is not of the form HOST@NUMBER",
                Location.of("host incarnation"));
    }
}
