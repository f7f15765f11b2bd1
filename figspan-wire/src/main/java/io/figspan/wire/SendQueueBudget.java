package io.figspan.wire;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes that all connections of a process have queued for sending, so that many peers that read slowly don't
 * exhaust its memory together. Thread-safe.
 */
public final class SendQueueBudget {
    /** A quarter of the memory that a host may use for control at the design size. */
    static final long DEFAULT_BYTES = 32 * 1024 * 1024;

    private final long limitBytes;
    private final AtomicLong queuedBytes = new AtomicLong();

    public SendQueueBudget() {
        this(DEFAULT_BYTES);
    }

    SendQueueBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Acquires bytes. Returns false, and acquires none, if fewer are left. */
    boolean tryAcquire(long bytes) {
        if (queuedBytes.addAndGet(bytes) <= limitBytes) {
            return true;
        }
        queuedBytes.addAndGet(-bytes);
        return false;
    }

    /** Returns bytes that were acquired before. */
    void release(long bytes) {
        queuedBytes.addAndGet(-bytes);
    }

    long queuedBytes() {
        return queuedBytes.get();
    }
}
