package io.figspan.core.time;

import java.util.function.LongSupplier;

/**
 * Hybrid logical clock after Kulkarni et al., "Logical Physical Clocks", OPODIS 2014. Events ordered by messages
 * between processes get increasing timestamps even when wall clocks disagree.
 */
public final class HybridClock {
    /** Largest lead of a received timestamp that is followed, so that one wrong wall clock cannot move all others. */
    static final long MAX_LEAD_MS = 60_000;

    private final LongSupplier wallClockMs;
    private HybridTimestamp last = HybridTimestamp.ZERO;

    public HybridClock(LongSupplier wallClockMs) {
        this.wallClockMs = wallClockMs;
    }

    /** Timestamp of a local event or of a message that is about to be sent. */
    public synchronized HybridTimestamp tick() {
        return advance(HybridTimestamp.ZERO);
    }

    /** Timestamp of the receipt of a message that carries {@code remote}. */
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
