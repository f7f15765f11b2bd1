package io.figspan.wire.http;

/** Checks the extensions of a chunk (RFC 9112, section 7.1.1): {@code ;name}, {@code ;name=token} or a quoted value. */
final class ChunkExtensions {
    private final byte[] line;
    private int position;

    ChunkExtensions(byte[] line, int start) {
        this.line = line;
        this.position = start;
    }

    /** Whether nothing but extensions is left in the line. */
    boolean areValid() {
        while (position < line.length) {
            if (!readExtension()) {
                return false;
            }
        }
        return true;
    }

    private boolean readExtension() {
        skipBlanks();
        if (!readOctet(';')) {
            return false;
        }
        skipBlanks();
        if (!readToken()) {
            return false;
        }
        int afterName = position;
        skipBlanks();
        if (!readOctet('=')) {
            position = afterName;
            return true;
        }
        skipBlanks();
        return readOctet('"') ? readRestOfQuoted() : readToken();
    }

    private boolean readToken() {
        int start = position;
        while (position < line.length && Octets.isTokenCharacter(line[position])) {
            position++;
        }
        return position > start;
    }

    private boolean readRestOfQuoted() {
        while (position < line.length && Octets.isText(line[position])) {
            byte octet = line[position++];
            if (octet == '"') {
                return true;
            }
            if (octet == '\\' && (position == line.length || !Octets.isText(line[position++]))) {
                return false;
            }
        }
        return false;
    }

    private boolean readOctet(char octet) {
        boolean isNext = position < line.length && line[position] == octet;
        if (isNext) {
            position++;
        }
        return isNext;
    }

    private void skipBlanks() {
        while (position < line.length && Octets.isBlank(line[position])) {
            position++;
        }
    }
}
