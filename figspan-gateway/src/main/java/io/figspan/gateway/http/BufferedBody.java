package io.figspan.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a request or an answer that is collected as a whole. It is bounded, alone and together with all others,
 * since callers and servers in trouble may send without end. Its memory grows with what has arrived, not with what was
 * announced, and counts until {@link #release}.
 */
public final class BufferedBody {
    private final ByteBudget budget;
    private final int maxBytes;
    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;
    private int takenBytes;

    /** What became of a piece. */
    public enum Outcome {
        TAKEN,
        /** The body is longer than a body may be. */
        TOO_LONG,
        /** All bodies together fill the memory that they may. */
        NO_ROOM
    }

    /**
     * An empty body.
     *
     * @param maxBytes longest body
     */
    public BufferedBody(ByteBudget budget, int maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
    }

    /** Adds a copy of a piece; nothing is added unless the outcome is {@link Outcome#TAKEN}. */
    public Outcome add(ByteBuf piece) {
        int length = piece.readableBytes();
        if (length > maxBytes - takenBytes) {
            return Outcome.TOO_LONG;
        }
        if (!budget.tryTake(length)) {
            return Outcome.NO_ROOM;
        }
        takenBytes += length;
        if (bytes.capacity() == 0) {
            bytes = Unpooled.buffer(length);
        }
        bytes.writeBytes(piece, piece.readerIndex(), length);
        return Outcome.TAKEN;
    }

    /** Bytes that have arrived. */
    public long lengthBytes() {
        return takenBytes;
    }

    /** Hands the bytes over; they count until {@link #release}. */
    public ByteBuf detachBytes() {
        ByteBuf whole = bytes;
        bytes = Unpooled.EMPTY_BUFFER;
        return whole;
    }

    /** The body counts no longer; what was not handed over is released. */
    public void release() {
        bytes.release();
        bytes = Unpooled.EMPTY_BUFFER;
        budget.giveBack(takenBytes);
        takenBytes = 0;
    }
}
