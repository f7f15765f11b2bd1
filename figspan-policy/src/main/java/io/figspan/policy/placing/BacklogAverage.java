package io.figspan.policy.placing;

/**
 * Exponentially weighted moving average of the prefill backlog per engine, so that a short lull within a burst does not
 * count as low load. All times are milliseconds.
 */
final class BacklogAverage {
    /** Time constant of the average: an observation keeps 37% of its weight after this time. */
    private static final double TIME_CONSTANT_MS = 2_000;

    private double averageMs;
    private double observedAtMs = Double.NaN;

    /** Adds an observation of the mean backlog per engine. */
    void observe(double backlogMs, double nowMs) {
        if (Double.isNaN(observedAtMs)) {
            averageMs = backlogMs;
        } else {
            double weight = 1 - Math.exp((observedAtMs - nowMs) / TIME_CONSTANT_MS);
            averageMs += weight * (backlogMs - averageMs);
        }
        observedAtMs = nowMs;
    }

    /** Returns the average; 0 before the first observation. */
    double averageMs() {
        return averageMs;
    }
}
