package io.figspan.core.id;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * One process lifetime of a host.
 *
 * @param number wall-clock time of the start of the process in milliseconds, so that a later process with the same host
 *     id has a higher number
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

    /** Parses the text written by {@link #toString()}. */
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

    /** Returns whether this is a later process lifetime of the same host. */
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
