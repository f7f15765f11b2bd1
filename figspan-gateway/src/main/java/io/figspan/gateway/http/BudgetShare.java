package io.figspan.gateway.http;

/**
 * What one buffer holds of a budget that several share. The first bytes of each buffer don't use up the budget, so that
 * buffers of an ordinary size get their room also when a few others have used it up. Not thread-safe.
 */
public final class BudgetShare {
    /** Bytes of each buffer that are free; most responses and events are shorter. */
    public static final int FREE_BYTES = 4 * 1_024;

    private final ByteBudget budget;
    private long heldBytes;

    public BudgetShare(ByteBudget budget) {
        this.budget = budget;
    }

    /** Sets the length of the buffer. Returns false, and changes nothing, if the budget has no room for it. */
    public boolean tryResize(long lengthBytes) {
        long neededBytes = limitedPart(lengthBytes);
        long acquiredBytes = limitedPart(heldBytes);
        if (neededBytes > acquiredBytes && !budget.tryAcquire(neededBytes - acquiredBytes)) {
            return false;
        }
        budget.release(Math.max(0, acquiredBytes - neededBytes));
        budget.count(lengthBytes - heldBytes);
        heldBytes = lengthBytes;
        return true;
    }

    private static long limitedPart(long lengthBytes) {
        return Math.max(0, lengthBytes - FREE_BYTES);
    }

    /** Returns all bytes to the budget. */
    public void release() {
        var unused = tryResize(0);
    }
}
