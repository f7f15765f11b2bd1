package io.figspan.core.id;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;

/** Validates the text of identifiers: 1 to 128 characters out of ASCII letters, digits and {@code ._-:/#}. */
final class IdFormat {
    /** Maximum length of an identifier; bounds its size in tables and frames. */
    static final int MAX_LENGTH_CHARS = 128;

    private IdFormat() {}

    /**
     * Validates an identifier.
     *
     * @param idType type of the identifier, for the error message
     * @throws FigspanException with {@link ProblemKind#INVALID_VALUE} if it is null or invalid
     */
    static void requireValid(String idType, String value) {
        if (value == null || value.isEmpty()) {
            throw invalid(idType, "is empty");
        }
        if (value.length() > MAX_LENGTH_CHARS) {
            throw invalid(idType, "has more than " + MAX_LENGTH_CHARS + " characters");
        }
        for (int i = 0; i < value.length(); i++) {
            if (!isAllowed(value.charAt(i))) {
                throw invalid(idType, "has a character outside letters, digits and . _ - : / # at position " + i);
            }
        }
    }

    private static boolean isAllowed(char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || "._-:/#".indexOf(c) >= 0;
    }

    private static FigspanException invalid(String idType, String reason) {
        return new FigspanException(ProblemKind.INVALID_VALUE, idType + " " + reason, Location.of(idType));
    }
}
