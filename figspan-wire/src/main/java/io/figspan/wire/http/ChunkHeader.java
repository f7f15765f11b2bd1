package io.figspan.wire.http;

import java.util.Optional;

/**
 * The line before the data of a chunk (RFC 9112, section 7.1): its size in hexadecimal digits and optional extensions.
 *
 * @param sizeBytes 0 for the last chunk
 */
record ChunkHeader(long sizeBytes) {
    private static final int HEX_RADIX = 16;

    /** Why a line without its line break is no chunk header; empty if it is one. */
    static Optional<String> violation(byte[] line) {
        int digits = digitCount(line);
        if (digits == 0 || sizeOf(line, digits) > Integer.MAX_VALUE) {
            return Optional.of("the size must be a hexadecimal number below 2 GiB");
        }
        return new ChunkExtensions(line, digits).areValid()
                ? Optional.empty()
                : Optional.of("only extensions may follow the size");
    }

    /** Parses a line without {@linkplain #violation violations}. */
    static ChunkHeader of(byte[] line) {
        return new ChunkHeader(sizeOf(line, digitCount(line)));
    }

    private static int digitCount(byte[] line) {
        int count = 0;
        while (count < line.length && hexDigit(line[count]) >= 0) {
            count++;
        }
        return count;
    }

    /** The size, or a larger number than an int has if it is too large. */
    private static long sizeOf(byte[] line, int digits) {
        long size = 0;
        for (int index = 0; index < digits && size <= Integer.MAX_VALUE; index++) {
            size = size * HEX_RADIX + hexDigit(line[index]);
        }
        return size;
    }

    /** The value of a digit in ASCII; negative for any other octet. */
    private static int hexDigit(byte octet) {
        return octet < 0 ? -1 : Character.digit(octet, HEX_RADIX);
    }

    boolean isLast() {
        return sizeBytes == 0;
    }
}
