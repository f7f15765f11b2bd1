package io.figspan.policy.engine;

/**
 * How likely a first token or a pause that was forecast turns out too late: a ramp over the part of the allowed time
 * that the forecast takes, since forecasts are not exact.
 *
 * @param firstTokenStart part of the time left at which the risk of a late first token begins
 * @param gapStart part of the longest pause at which the risk of a longer one begins
 * @param certain part at which lateness is taken as certain
 * @param netMs time that the network takes besides
 */
public record LateRisk(double firstTokenStart, double gapStart, double certain, double netMs) {
    /** Leaves room for requests that other hosts send at the same time. */
    public static final LateRisk DEFAULT = new LateRisk(0.55, 0.8, 1.02, 4);

    /** The risk that a first token forecast for a time comes after the time it is due. */
    public double ofFirstToken(double atMs, double dueMs, double nowMs) {
        double leftMs = dueMs - nowMs;
        return leftMs <= 0 ? 1 : ramp((atMs + netMs - nowMs) / leftMs, firstTokenStart);
    }

    /** The risk that a pause forecast is longer than allowed. */
    public double ofGap(double gapMs, double maxGapMs) {
        return ramp((gapMs + netMs) / maxGapMs, gapStart);
    }

    private double ramp(double part, double start) {
        return Math.max(0, Math.min(1, (part - start) / (certain - start)));
    }
}
