package io.figspan.cluster.message;

import java.util.Arrays;
import java.util.HexFormat;

/** Immutable byte string with value equality, for digests and bodies in records. */
public final class Bytes {
    public static final Bytes EMPTY = new Bytes(new byte[0]);

    private static final int MAX_PRINTED_BYTES = 8;

    private final byte[] content;

    private Bytes(byte[] content) {
        this.content = content;
    }

    public static Bytes copyOf(byte[] content) {
        return new Bytes(content.clone());
    }

    /** Wraps the array without a copy; the caller must not modify it afterwards. */
    public static Bytes wrap(byte[] content) {
        return new Bytes(content);
    }

    public int size() {
        return content.length;
    }

    public byte[] toArray() {
        return content.clone();
    }

    /** Returns the backing array without a copy; the caller must not modify it. */
    public byte[] unsafeArray() {
        return content;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Bytes bytes && Arrays.equals(content, bytes.content);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(content);
    }

    /** The first bytes in hexadecimal and the length. */
    @Override
    public String toString() {
        String prefix = HexFormat.of().formatHex(content, 0, Math.min(MAX_PRINTED_BYTES, content.length));
        return content.length > MAX_PRINTED_BYTES ? prefix + "..(" + content.length + " bytes)" : prefix;
    }
}
