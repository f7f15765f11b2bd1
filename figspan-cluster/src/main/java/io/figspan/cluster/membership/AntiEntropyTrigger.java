package io.figspan.cluster.membership;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Decides when digests of the live set that keep differing are worth a comparison of the lists. */
final class AntiEntropyTrigger {
    /** Differing digests in a row after which the lists are compared; fewer differ while news is still spreading. */
    private static final int DIFFERENT_DIGESTS = 5;

    /** Comparing the lists of 400 hosts costs 18 KB, so it is limited to one in this time. */
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** The first minute after a start compares more often, so that hosts that start together find each other soon. */
    private static final long EARLY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final long EARLY_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final RandomGenerator random;
    private final long startedNanos;
    private long nextAtNanos;
    private int differentInARow;

    AntiEntropyTrigger(RandomGenerator random, long nowNanos) {
        this.random = random;
        this.startedNanos = nowNanos;
        this.nextAtNanos = nowNanos;
    }

    /** Takes the digest that another host has sent; true when its list should be asked for now. */
    boolean isDue(int theirs, int ours, long nowNanos) {
        if (theirs == ours) {
            differentInARow = 0;
            return false;
        }
        differentInARow++;
        if (differentInARow < DIFFERENT_DIGESTS || nowNanos - nextAtNanos < 0) {
            return false;
        }
        differentInARow = 0;
        long intervalNanos = nowNanos - startedNanos < EARLY_NANOS ? EARLY_INTERVAL_NANOS : INTERVAL_NANOS;
        nextAtNanos = nowNanos + intervalNanos / 2 + random.nextLong(intervalNanos);
        return true;
    }
}
