package io.figspan.wire.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Collects the bytes of one line, which may arrive in several reads. */
final class LineBuffer {
    private static final int INITIAL_BYTES = 128;
    private static final int LINE_BREAK_BYTES = 2;

    private final int maxBytes;
    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;

    LineBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Takes bytes up to the next line feed.
     *
     * @return whether the line has ended, or is full
     */
    boolean take(ByteBuffer source) {
        while (source.hasRemaining() && length < maxBytes) {
            byte octet = source.get();
            append(octet);
            if (octet == '\n') {
                return true;
            }
        }
        return length == maxBytes;
    }

    private void append(byte octet) {
        if (length == bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(maxBytes, 2 * length));
        }
        bytes[length++] = octet;
    }

    int length() {
        return length;
    }

    /** Whether the line ends with a carriage return and a line feed, and has no other carriage return. */
    boolean hasLineBreak() {
        if (length < LINE_BREAK_BYTES || bytes[length - 1] != '\n' || bytes[length - 2] != '\r') {
            return false;
        }
        for (int index = 0; index < length - LINE_BREAK_BYTES; index++) {
            if (bytes[index] == '\r') {
                return false;
            }
        }
        return true;
    }

    /** Whether the line is empty but for its line break. */
    boolean isEmptyLine() {
        return length == LINE_BREAK_BYTES && hasLineBreak();
    }

    /** Removes and returns the line without its line break. */
    byte[] detachLine() {
        return detach(length - LINE_BREAK_BYTES);
    }

    /** Removes and returns all bytes. */
    byte[] detachAll() {
        return detach(length);
    }

    private byte[] detach(int count) {
        byte[] detached = Arrays.copyOf(bytes, count);
        length = 0;
        return detached;
    }
}
