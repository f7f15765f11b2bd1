package io.figspan.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Buffers the whole body of a request or a response. Its length is limited, and so is the total of all bodies that
 * share a budget, because faulty callers and servers may send without end. The buffer grows with the bytes received,
 * not with the announced length, and the bytes count against the budget until {@link #release}.
 */
public final class BufferedBody {
    private final BudgetShare share;
    private final int maxBytes;
    private ByteBuf buffer = Unpooled.EMPTY_BUFFER;
    private int lengthBytes;

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
        this.share = new BudgetShare(budget);
        this.maxBytes = maxBytes;
    }

    /** Appends a copy of a chunk. Nothing is appended unless the result is {@link Outcome#TAKEN}. */
    public Outcome add(ByteBuf chunk) {
        int length = chunk.readableBytes();
        if (length > maxBytes - lengthBytes) {
            return Outcome.TOO_LONG;
        }
        if (!share.tryResize((long) lengthBytes + length)) {
            return Outcome.NO_ROOM;
        }
        lengthBytes += length;
        if (buffer.capacity() == 0) {
            buffer = Unpooled.buffer(length);
        }
        buffer.writeBytes(chunk, chunk.readerIndex(), length);
        return Outcome.TAKEN;
    }

    /** Number of bytes buffered so far. */
    public long lengthBytes() {
        return lengthBytes;
    }

    /** Transfers the buffer to the caller; its bytes count against the budget until {@link #release}. */
    public ByteBuf detachBytes() {
        ByteBuf detached = buffer;
        buffer = Unpooled.EMPTY_BUFFER;
        return detached;
    }

    /** Returns the bytes to the budget and releases the buffer unless it was detached. */
    public void release() {
        buffer.release();
        buffer = Unpooled.EMPTY_BUFFER;
        share.release();
        lengthBytes = 0;
    }
}
