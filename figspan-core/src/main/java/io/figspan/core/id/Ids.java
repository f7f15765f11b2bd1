package io.figspan.core.id;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/** Checks that all id types share. */
final class Ids {
    /** Longest id accepted, in characters; bounds what one id can cost in a table or a frame. */
    static final int MAX_LENGTH_CHARS = 128;

    private Ids() {}

    static void requireName(String what, String value) {
        if (value == null || value.isEmpty()) {
            throw invalid(what, "is empty");
        }
        if (value.length() > MAX_LENGTH_CHARS) {
            throw invalid(what, "has more than " + MAX_LENGTH_CHARS + " characters");
        }
        for (int i = 0; i < value.length(); i++) {
            if (!isAllowed(value.charAt(i))) {
                throw invalid(what, "has a character outside letters, digits and . _ - : / # at position " + i);
            }
        }
    }

    private static boolean isAllowed(char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || "._-:/#".indexOf(c) >= 0;
    }

    private static FigspanException invalid(String what, String reason) {
        return new FigspanException(ProblemKind.INVALID_VALUE, what + " " + reason, Location.of(what));
    }
}
