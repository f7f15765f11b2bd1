package io.figspan.policy.placing;

/**
 * How much reading waits at the engines, averaged over the last seconds, so that a lull within a burst does not count
 * as calm. All times are milliseconds.
 */
final class Crowding {
    /** Time in which an old value loses most of its weight. */
    private static final double MEMORY_MS = 2_000;

    private double averageMs;
    private double observedAtMs = Double.NaN;

    /** Takes the reading that waits at each engine now, on the mean. */
    void observe(double waitingMs, double nowMs) {
        if (Double.isNaN(observedAtMs)) {
            averageMs = waitingMs;
        } else {
            double weight = 1 - Math.exp((observedAtMs - nowMs) / MEMORY_MS);
            averageMs += weight * (waitingMs - averageMs);
        }
        observedAtMs = nowMs;
    }

    /** Reading that waited at each engine lately, on the mean. */
    double averageMs() {
        return averageMs;
    }
}
