package io.figspan.cluster.membership;

import io.figspan.core.id.HostId;
import java.util.HashSet;
import java.util.Set;

/**
 * Time that a suspect has to refute. It starts long and shrinks as other hosts suspect the same member independently
 * (Lifeguard's dynamic suspicion timeout).
 */
final class Suspicion {
    /** Multiple of the probe interval and of the logarithm of the member count; 3 s for up to ten hosts. */
    private static final double MIN_FACTOR = 3;

    /** The longest time is this multiple of the shortest. */
    private static final double MAX_OVER_MIN = 3;

    /** Independent suspicions after which the time is the shortest. */
    private static final int CONFIRMATIONS = 3;

    private final Set<HostId> suspectors = new HashSet<>();
    private final double minNanos;
    private final int neededConfirmations;
    private final double stretch;
    private long startNanos;

    Suspicion(long nowNanos, long probeIntervalNanos, int members, int localScore) {
        this.startNanos = nowNanos;
        this.minNanos = MIN_FACTOR * probeIntervalNanos * Math.max(1, Math.log10(Math.max(1, members)));
        this.neededConfirmations = Math.max(0, Math.min(CONFIRMATIONS, members - 2));
        this.stretch = localScore + 1;
    }

    /** Returns whether the suspector is new and still counts, so that its statement is passed on. */
    boolean confirm(HostId by) {
        return suspectors.size() <= CONFIRMATIONS && suspectors.add(by);
    }

    boolean hasExpired(long nowNanos) {
        return nowNanos - startNanos >= timeoutNanos();
    }

    /** Adds a time during which this process did not run and could not hear a refutation. */
    void extend(long nanos) {
        startNanos += nanos;
    }

    private double timeoutNanos() {
        int confirmations = Math.max(0, suspectors.size() - 1);
        if (neededConfirmations == 0 || confirmations >= neededConfirmations) {
            return minNanos * stretch;
        }
        double maxNanos = minNanos * MAX_OVER_MIN;
        double share = Math.log(confirmations + 1.0) / Math.log(neededConfirmations + 1.0);
        return Math.max(minNanos, maxNanos - (maxNanos - minNanos) * share) * stretch;
    }
}
