package io.figspan.gateway.http;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * A buffer on the heap that owns its share of a budget: the share grows before the buffer does, and is returned when
 * the last reference to the bytes is released, whoever holds it. Not thread-safe, like the budget.
 */
final class CountedBuffer extends UnpooledHeapByteBuf {
    private final ByteBudget budget;
    private final BudgetShare share;

    /**
     * Creates an empty buffer.
     *
     * @param maxBytes maximum length
     */
    CountedBuffer(ByteBudget budget, int maxBytes) {
        super(UnpooledByteBufAllocator.DEFAULT, 0, maxBytes);
        this.budget = budget;
        this.share = new BudgetShare(budget);
    }

    /** Changes the capacity. Returns false, and changes nothing, if the budget has no room for it. */
    boolean tryResize(int capacityBytes) {
        if (!share.tryResize(capacityBytes)) {
            return false;
        }
        capacity(capacityBytes);
        return true;
    }

    @Override
    protected byte[] allocateArray(int initialCapacity) {
        byte[] allocated = super.allocateArray(initialCapacity);
        // The constructor of the superclass allocates an empty array before the budget is set.
        if (allocated.length > 0) {
            budget.arrayChanged(allocated.length);
        }
        return allocated;
    }

    @Override
    protected void freeArray(byte[] freed) {
        if (freed.length > 0) {
            budget.arrayChanged(-freed.length);
        }
        super.freeArray(freed);
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        share.release();
    }
}
