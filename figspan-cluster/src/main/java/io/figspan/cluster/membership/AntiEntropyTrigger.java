package io.figspan.cluster.membership;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Triggers an anti-entropy exchange of member lists while the digests of the live sets keep differing. */
final class AntiEntropyTrigger {
    /** Consecutive mismatches that trigger an exchange; fewer are normal while an update is propagating. */
    private static final int MISMATCH_THRESHOLD = 5;

    /** Minimum time between exchanges before jitter of 50% either way; one costs 18 KB at 400 hosts. */
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** The same for the first minute, shorter so that hosts that start together soon discover each other. */
    private static final long STARTUP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final long STARTUP_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final RandomGenerator random;
    private final long startedNanos;
    private long nextAtNanos;
    private int consecutiveMismatches;

    AntiEntropyTrigger(RandomGenerator random, long nowNanos) {
        this.random = random;
        this.startedNanos = nowNanos;
        this.nextAtNanos = nowNanos;
    }

    /** Records a digest received from a peer. Returns whether to request its member list now. */
    boolean isDue(int remoteDigest, int localDigest, long nowNanos) {
        if (remoteDigest == localDigest) {
            consecutiveMismatches = 0;
            return false;
        }
        consecutiveMismatches++;
        if (consecutiveMismatches < MISMATCH_THRESHOLD || nowNanos - nextAtNanos < 0) {
            return false;
        }
        consecutiveMismatches = 0;
        long intervalNanos = nowNanos - startedNanos < STARTUP_NANOS ? STARTUP_INTERVAL_NANOS : INTERVAL_NANOS;
        nextAtNanos = nowNanos + intervalNanos / 2 + random.nextLong(intervalNanos);
        return true;
    }
}
