package io.figspan.wire.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A header or trailer field (RFC 9112, section 5). A line that continues the one before it is obsolete and invalid. */
final class FieldLine {
    private final byte[] line;
    private final int nameLength;

    private FieldLine(byte[] line) {
        this.line = line;
        this.nameLength = nameLength(line);
    }

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

    /** Parses a line without {@linkplain #violation violations}. */
    static FieldLine of(byte[] line) {
        return new FieldLine(line);
    }

    private static int nameLength(byte[] line) {
        int length = 0;
        while (length < line.length && Octets.isTokenCharacter(line[length])) {
            length++;
        }
        return length;
    }

    boolean isNamed(String name) {
        return nameLength == name.length() && text(0, nameLength).equalsIgnoreCase(name);
    }

    /** The value without blanks around it. */
    String value() {
        return text(nameLength + 1, line.length).strip();
    }

    private String text(int start, int end) {
        return new String(line, start, end - start, StandardCharsets.ISO_8859_1);
    }
}
