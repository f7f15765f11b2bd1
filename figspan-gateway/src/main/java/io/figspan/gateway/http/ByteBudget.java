package io.figspan.gateway.http;

/** A limit on the total number of bytes that several buffers hold at once. Not thread-safe. */
public final class ByteBudget {
    private final long limitBytes;
    private long usedBytes;

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

    public long usedBytes() {
        return usedBytes;
    }
}
