package io.figspan.wire.http;

import java.util.Optional;

/** A header or trailer field (RFC 9112, section 5). A line that continues the one before it is obsolete and invalid. */
final class FieldLine {
    private FieldLine() {}

    /** Why a line without its line break is no field line; empty if it is one. */
    static Optional<String> violation(byte[] line) {
        int nameLength = nameLength(line);
        if (nameLength == 0 || nameLength == line.length || line[nameLength] != ':') {
            return Optional.of("the name must be a token directly before a colon");
        }
        return Octets.isText(line, nameLength + 1)
                ? Optional.empty()
                : Optional.of("the value must have no control bytes");
    }

    private static int nameLength(byte[] line) {
        int length = 0;
        while (length < line.length && Octets.isTokenCharacter(line[length])) {
            length++;
        }
        return length;
    }
}
