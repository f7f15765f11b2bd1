package io.figspan.control.ticket;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Immutable body of a service's answer. */
public final class AnswerBody {
    public static final AnswerBody EMPTY = new AnswerBody(new byte[0]);

    private final byte[] bytes;

    private AnswerBody(byte[] bytes) {
        this.bytes = bytes;
    }

    public static AnswerBody of(byte[] bytes) {
        return new AnswerBody(bytes.clone());
    }

    public static AnswerBody ofText(String text) {
        return new AnswerBody(text.getBytes(StandardCharsets.UTF_8));
    }

    public byte[] toBytes() {
        return bytes.clone();
    }

    public int sizeBytes() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AnswerBody body && Arrays.equals(bytes, body.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    /** Returns the body, decoded as UTF-8. */
    @Override
    public String toString() {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
