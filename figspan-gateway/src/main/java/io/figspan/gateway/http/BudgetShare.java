package io.figspan.gateway.http;

/**
 * What one buffer holds of a budget that several share. The first bytes of each buffer don't count, so that buffers of
 * an ordinary size get their room also when a few others have used up the budget. Not thread-safe.
 */
public final class BudgetShare {
    /** Bytes of each buffer that don't count; most responses and events are shorter. */
    public static final int FREE_BYTES = 4 * 1_024;

    private final ByteBudget budget;
    private long heldBytes;

    public BudgetShare(ByteBudget budget) {
        this.budget = budget;
    }

    /** Sets the length of the buffer. Returns false, and changes nothing, if the budget has no room for it. */
    public boolean tryResize(long lengthBytes) {
        long neededBytes = Math.max(0, lengthBytes - FREE_BYTES);
        if (neededBytes > heldBytes && !budget.tryAcquire(neededBytes - heldBytes)) {
            return false;
        }
        budget.release(Math.max(0, heldBytes - neededBytes));
        heldBytes = neededBytes;
        return true;
    }

    /** Returns all bytes to the budget. */
    public void release() {
        budget.release(heldBytes);
        heldBytes = 0;
    }
}
