package io.figspan.cluster.membership;

import io.figspan.core.id.HostId;
import java.util.HashSet;
import java.util.Set;

/**
 * Time that a suspected member has to refute the suspicion. It shrinks as other hosts independently suspect the same
 * member (Lifeguard's dynamic suspicion timeout).
 */
final class Suspicion {
    /** The minimum timeout is this times the probe interval and log10 of the member count; 3 s for up to ten hosts. */
    private static final double MIN_TIMEOUT_FACTOR = 3;

    /** Ratio of the maximum timeout to the minimum. */
    private static final double MAX_TO_MIN_RATIO = 3;

    /** Independent confirmations after which the timeout is at its minimum. */
    private static final int CONFIRMATIONS = 3;

    private final Set<HostId> suspectors = new HashSet<>();
    private final double minTimeoutNanos;
    private final int neededConfirmations;
    private final double timeoutMultiplier;
    private long startNanos;

    Suspicion(long nowNanos, long probeIntervalNanos, int members, int localHealthScore) {
        this.startNanos = nowNanos;
        this.minTimeoutNanos = MIN_TIMEOUT_FACTOR * probeIntervalNanos * Math.max(1, Math.log10(Math.max(1, members)));
        this.neededConfirmations = Math.max(0, Math.min(CONFIRMATIONS, members - 2));
        this.timeoutMultiplier = localHealthScore + 1;
    }

    /** Records that a host suspects the member. Returns whether to gossip it: the host is new and still counts. */
    boolean confirm(HostId suspector) {
        return suspectors.size() <= CONFIRMATIONS && suspectors.add(suspector);
    }

    boolean hasExpired(long nowNanos) {
        return nowNanos - startNanos >= timeoutNanos();
    }

    /** Extends the timeout by a pause of this process, in which it could not receive a refutation. */
    void extend(long nanos) {
        startNanos += nanos;
    }

    private double timeoutNanos() {
        int confirmations = Math.max(0, suspectors.size() - 1);
        if (neededConfirmations == 0 || confirmations >= neededConfirmations) {
            return minTimeoutNanos * timeoutMultiplier;
        }
        double maxTimeoutNanos = minTimeoutNanos * MAX_TO_MIN_RATIO;
        double progress = Math.log(confirmations + 1.0) / Math.log(neededConfirmations + 1.0);
        return Math.max(minTimeoutNanos, maxTimeoutNanos - (maxTimeoutNanos - minTimeoutNanos) * progress)
                * timeoutMultiplier;
    }
}
