package io.figspan.policy.placing;

/**
 * How long a server that failed gets no new work: longer with each failure in a row, until it serves something again.
 * Answers load at servers of which some are dead, cut off or failing for seconds: each trial of such a server costs a
 * caller its time.
 */
final class Avoidance {
    static final double FIRST_MS = 500;

    /** A server that is back serves again after this time at the latest. */
    static final double LONGEST_MS = 2_000;

    private double untilMs = Double.NEGATIVE_INFINITY;
    private double nextMs = FIRST_MS;

    /** The server could not be reached, broke off or was silent. Failures of requests sent before count as one. */
    void failed(double nowMs) {
        if (isAvoided(nowMs)) {
            return;
        }
        untilMs = nowMs + nextMs;
        nextMs = Math.min(LONGEST_MS, 2 * nextMs);
    }

    /** The server is alive and turned a request away, so it is only full for a moment. */
    void turnedAway(double nowMs) {
        untilMs = Math.max(untilMs, nowMs + FIRST_MS);
    }

    /** The server has served something. */
    void served() {
        nextMs = FIRST_MS;
    }

    boolean isAvoided(double nowMs) {
        return nowMs < untilMs;
    }
}
