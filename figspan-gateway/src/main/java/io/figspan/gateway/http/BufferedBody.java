package io.figspan.gateway.http;

import io.netty.buffer.ByteBuf;

/**
 * Buffers the whole body of a request or a response. Its length is limited, and so is the total of all bodies that
 * share a budget, because faulty callers and servers may send without end. The buffer grows with the bytes received,
 * not with the announced length, and counts against the budget until the last reference to it is released.
 */
public final class BufferedBody {
    private final int maxBytes;
    private final long announcedBytes;
    private final CountedBuffer buffer;
    private boolean detached;

    /** Result of {@link #add}. */
    public enum Outcome {
        TAKEN,
        /** The body exceeds its maximum length. */
        TOO_LONG,
        /** The shared budget is exhausted. */
        NO_ROOM
    }

    /**
     * Creates an empty body.
     *
     * @param maxBytes maximum length of the body
     */
    public BufferedBody(ByteBudget budget, int maxBytes) {
        this(budget, maxBytes, maxBytes);
    }

    /**
     * Creates an empty body whose length was announced.
     *
     * @param maxBytes maximum length of the body
     * @param announcedBytes length beyond which the buffer doesn't grow ahead of what is received
     */
    public BufferedBody(ByteBudget budget, int maxBytes, long announcedBytes) {
        this.maxBytes = maxBytes;
        this.announcedBytes = announcedBytes;
        this.buffer = new CountedBuffer(budget, maxBytes);
    }

    /** Appends a copy of a chunk. Nothing is appended unless the result is {@link Outcome#TAKEN}. */
    public Outcome add(ByteBuf chunk) {
        int length = chunk.readableBytes();
        if (length > maxBytes - buffer.readableBytes()) {
            return Outcome.TOO_LONG;
        }
        if (!makeRoom(buffer.readableBytes() + length)) {
            return Outcome.NO_ROOM;
        }
        buffer.writeBytes(chunk, chunk.readerIndex(), length);
        return Outcome.TAKEN;
    }

    /** Doubles the buffer, so that it is copied few times, unless the budget has room for the chunk only. */
    private boolean makeRoom(int neededBytes) {
        int capacityBytes = buffer.capacity();
        if (neededBytes <= capacityBytes) {
            return true;
        }
        int doubledBytes = (int) Math.min(Math.min(maxBytes, announcedBytes), 2L * capacityBytes);
        return (doubledBytes > neededBytes && buffer.tryResize(doubledBytes)) || buffer.tryResize(neededBytes);
    }

    /** Number of bytes buffered so far; 0 after {@link #detachBytes}. */
    public long lengthBytes() {
        return detached ? 0 : buffer.readableBytes();
    }

    /** Transfers the complete buffer, and with it the bytes of the budget, to the caller of this method. */
    public ByteBuf detachBytes() {
        detached = true;
        if (buffer.capacity() > buffer.readableBytes()) {
            var unused = buffer.tryResize(buffer.readableBytes());
        }
        return buffer;
    }

    /** Releases the buffer, unless it was detached. */
    public void release() {
        if (!detached) {
            detached = true;
            buffer.release();
        }
    }
}
