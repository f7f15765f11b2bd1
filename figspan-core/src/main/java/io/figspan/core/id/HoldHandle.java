package io.figspan.core.id;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/**
 * Identifier of a hold, a reservation of engine memory. It consists of the incarnation of the owning host and a
 * sequence number, so that no handle is ever reused.
 */
public record HoldHandle(HostIncarnation owner, long sequence) {
    public HoldHandle {
        if (owner == null || sequence < 0) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE,
                    "hold handle needs an owner and a sequence of at least 0",
                    Location.of("hold handle"));
        }
    }

    /** Parses the text written by {@link #toString()}. */
    public static HoldHandle parse(String text) {
        int separator = text.lastIndexOf('#');
        if (separator < 0) {
            throw malformed(text);
        }
        try {
            return new HoldHandle(
                    HostIncarnation.parse(text.substring(0, separator)), Long.parseLong(text.substring(separator + 1)));
        } catch (NumberFormatException e) {
            throw malformed(text);
        }
    }

    @Override
    public String toString() {
        return owner + "#" + sequence;
    }

    private static FigspanException malformed(String text) {
        return new FigspanException(
                ProblemKind.INVALID_VALUE,
                "hold handle '" + text + "' is not of the form HOST@NUMBER#SEQUENCE",
                Location.of("hold handle"));
    }
}
