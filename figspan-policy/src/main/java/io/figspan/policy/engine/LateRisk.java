package io.figspan.policy.engine;

/**
 * How likely a first token or a pause that was forecast turns out too late, as a ramp around its limit, since forecasts
 * are not exact.
 *
 * @param rampStart part of the allowed time at which the risk begins
 * @param rampEnd part of the allowed time at which lateness is taken as certain
 * @param netMs time that the network takes besides
 */
public record LateRisk(double rampStart, double rampEnd, double netMs) {
    /** Fits forecasts that are mostly right within a tenth. */
    public static final LateRisk DEFAULT = new LateRisk(0.75, 1.05, 4);

    /** Slack from which on a first token is taken as on time: about a pass. */
    private static final double SURE_SLACK_MS = 60;

    /** The risk that a first token forecast for a time comes after the time it is due. */
    public double ofFirstToken(double atMs, double dueMs) {
        double slackMs = dueMs - atMs - netMs;
        if (slackMs >= SURE_SLACK_MS) {
            return 0;
        }
        return slackMs <= 0 ? 1 : 1 - slackMs / SURE_SLACK_MS;
    }

    /** The risk that a pause forecast is longer than allowed. */
    public double ofGap(double gapMs, double maxGapMs) {
        double part = (gapMs + netMs) / maxGapMs;
        return Math.max(0, Math.min(1, (part - rampStart) / (rampEnd - rampStart)));
    }
}
