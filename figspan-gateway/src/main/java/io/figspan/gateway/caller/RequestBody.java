package io.figspan.gateway.caller;

import io.figspan.gateway.http.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a request while it arrives and until its answer is written. Its memory counts against what all callers
 * may fill together, and grows with what has arrived, not with what was announced.
 */
final class RequestBody {
    /** First memory of a body; larger ones grow by doubling. */
    private static final int FIRST_BYTES = 1_024;

    private final ByteBudget budget;
    private final int maxBytes;
    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;
    private long takenBytes;

    /** What became of a piece. */
    enum Outcome {
        TAKEN,
        /** The body is longer than a body may be. */
        TOO_LONG,
        /** The bodies of all callers fill the memory that they may. */
        NO_ROOM
    }

    /**
     * An empty body.
     *
     * @param maxBytes longest body
     */
    RequestBody(ByteBudget budget, int maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
    }

    /** Adds a copy of a piece. */
    Outcome add(ByteBuf piece) {
        int length = piece.readableBytes();
        if (takenBytes + length > maxBytes) {
            return Outcome.TOO_LONG;
        }
        if (!budget.tryTake(length)) {
            return Outcome.NO_ROOM;
        }
        if (takenBytes == 0 && length > 0) {
            bytes = Unpooled.buffer(Math.max(FIRST_BYTES, length));
        }
        takenBytes += length;
        bytes.writeBytes(piece, piece.readerIndex(), length);
        return Outcome.TAKEN;
    }

    /** Bytes that have arrived. */
    long lengthBytes() {
        return takenBytes;
    }

    /** Hands the bytes over; they count until {@link #end}. */
    ByteBuf takeWhole() {
        ByteBuf whole = bytes;
        bytes = Unpooled.EMPTY_BUFFER;
        return whole;
    }

    /** The request is over; what was not handed over is released. */
    void end() {
        bytes.release();
        bytes = Unpooled.EMPTY_BUFFER;
        budget.giveBack(takenBytes);
        takenBytes = 0;
    }
}
