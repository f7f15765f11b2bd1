package io.figspan.core.time;

import java.util.function.LongSupplier;

/**
 * Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", OPODIS 2014). Causally ordered events of different
 * processes get increasing timestamps even if their wall clocks differ, by up to {@link #MAX_LEAD_MS}. Thread-safe.
 */
public final class HybridClock {
    /**
     * Maximum lead of a received timestamp over the local wall clock, in milliseconds. A timestamp further ahead is
     * ignored, so that one wrong wall clock cannot advance the clocks of all other processes.
     */
    static final long MAX_LEAD_MS = 60_000;

    private final LongSupplier wallClockMs;
    private HybridTimestamp last = HybridTimestamp.ZERO;

    public HybridClock(LongSupplier wallClockMs) {
        this.wallClockMs = wallClockMs;
    }

    /** Returns the timestamp of a local event or of a message that is about to be sent. */
    public synchronized HybridTimestamp tick() {
        return advance(HybridTimestamp.ZERO);
    }

    /** Returns the timestamp of the receipt of a message that carries the timestamp {@code remote}. */
    public synchronized HybridTimestamp observe(HybridTimestamp remote) {
        boolean tooFarAhead = remote.wallMs() - wallClockMs.getAsLong() > MAX_LEAD_MS;
        return advance(tooFarAhead ? HybridTimestamp.ZERO : remote);
    }

    private HybridTimestamp advance(HybridTimestamp remote) {
        long wallMs = Math.max(wallClockMs.getAsLong(), Math.max(last.wallMs(), remote.wallMs()));
        int counter = 0;
        if (wallMs == last.wallMs()) {
            counter = last.counter() + 1;
        }
        if (wallMs == remote.wallMs()) {
            counter = Math.max(counter, remote.counter() + 1);
        }
        last = new HybridTimestamp(wallMs, counter);
        return last;
    }
}
