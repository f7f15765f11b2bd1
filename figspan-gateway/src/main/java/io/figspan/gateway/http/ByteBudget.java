package io.figspan.gateway.http;

/**
 * A limit on the total number of bytes that several buffers hold at once, and the account of what they hold. Not
 * thread-safe.
 */
public final class ByteBudget {
    private final long limitBytes;
    private long usedBytes;
    private long countedBytes;
    private long liveBytes;

    public ByteBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Acquires bytes from the budget. Returns false, and acquires none, if fewer are left. */
    public boolean tryAcquire(long bytes) {
        if (bytes > limitBytes - usedBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Returns bytes that were acquired before. */
    public void release(long bytes) {
        usedBytes -= bytes;
    }

    /** The part of {@link #countedBytes} that uses up the limit. */
    public long usedBytes() {
        return usedBytes;
    }

    /** What the owners of buffers have declared, the free bytes of each buffer included. */
    public long countedBytes() {
        return countedBytes;
    }

    /** What the arrays of {@link CountedBuffer}s take; {@link #countedBytes} differs from it only after an error. */
    public long liveBytes() {
        return liveBytes;
    }

    void count(long addedBytes) {
        countedBytes += addedBytes;
    }

    void arrayChanged(long addedBytes) {
        liveBytes += addedBytes;
    }
}
