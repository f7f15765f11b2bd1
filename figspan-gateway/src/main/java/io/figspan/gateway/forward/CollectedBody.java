package io.figspan.gateway.forward;

import io.figspan.gateway.http.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of an answer that is passed on as a whole. It is bounded, alone and together with all others, since a server
 * in trouble may send without end.
 */
final class CollectedBody {
    /** Longest body of one answer. */
    static final int MAX_BYTES = 4 * 1_024 * 1_024;

    private final ByteBudget budget;
    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;
    private int takenBytes;

    CollectedBody(ByteBudget budget) {
        this.budget = budget;
    }

    /** Adds a copy of the content; false, and nothing is added, when it would be too long. */
    boolean add(ByteBuf content) {
        int length = content.readableBytes();
        if (length > MAX_BYTES - takenBytes || !budget.tryTake(length)) {
            return false;
        }
        takenBytes += length;
        if (bytes.capacity() == 0) {
            bytes = Unpooled.buffer(length);
        }
        bytes.writeBytes(content, content.readerIndex(), length);
        return true;
    }

    /** Hands the body over; this one is empty then. */
    ByteBuf take() {
        ByteBuf taken = bytes;
        bytes = Unpooled.EMPTY_BUFFER;
        settle();
        return taken;
    }

    void release() {
        bytes.release();
        bytes = Unpooled.EMPTY_BUFFER;
        settle();
    }

    private void settle() {
        budget.giveBack(takenBytes);
        takenBytes = 0;
    }
}
