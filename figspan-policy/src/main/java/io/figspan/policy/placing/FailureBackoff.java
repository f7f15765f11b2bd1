package io.figspan.policy.placing;

/**
 * Exponential backoff of one server: after a failure the server gets no new work for a while, twice as long after each
 * consecutive failure up to {@link #MAX_MS}. Designed for fleets in which some servers are dead, partitioned or failing
 * for seconds, where every attempt at such a server costs a caller its time.
 */
final class FailureBackoff {
    static final double INITIAL_MS = 500;

    /** Upper bound of the backoff; a server that has recovered gets new work after this time at the latest. */
    static final double MAX_MS = 2_000;

    private double endMs = Double.NEGATIVE_INFINITY;
    private double nextDurationMs = INITIAL_MS;

    /**
     * Records that the server was unreachable, silent or closed the connection. Failures during a backoff belong to
     * requests sent before it and don't extend it.
     */
    void recordFailure(double nowMs) {
        if (isActive(nowMs)) {
            return;
        }
        endMs = nowMs + nextDurationMs;
        nextDurationMs = Math.min(MAX_MS, 2 * nextDurationMs);
    }

    /** Records that the server rejected a request: it is alive but full, so it backs off for the initial time only. */
    void recordRejection(double nowMs) {
        endMs = Math.max(endMs, nowMs + INITIAL_MS);
    }

    /** Records that the server served a request, which resets the next backoff to the initial time. */
    void recordSuccess() {
        nextDurationMs = INITIAL_MS;
    }

    boolean isActive(double nowMs) {
        return nowMs < endMs;
    }
}
