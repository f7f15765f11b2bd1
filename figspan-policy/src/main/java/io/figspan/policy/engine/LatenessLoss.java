package io.figspan.policy.engine;

/**
 * Estimates the fraction of an answer's weight that is lost when its first token, or a gap between its pieces, is late.
 * Since forecasts are not exact, the loss is a linear ramp over the forecast time as a fraction of the allowed time.
 *
 * @param firstTokenRiskStart fraction of the time left at which the risk of a late first token begins
 * @param gapRiskStart fraction of the longest allowed gap at which the risk of a longer one begins
 * @param certainlyLate fraction from which on lateness is taken as certain
 * @param networkMs network delay added to the forecast
 */
public record LatenessLoss(double firstTokenRiskStart, double gapRiskStart, double certainlyLate, double networkMs) {
    /** The ramp starts early to leave room for requests that other hosts send at the same time. */
    public static final LatenessLoss DEFAULT = new LatenessLoss(0.55, 0.8, 1.02, 4);

    /** Loss of an answer that is late; the rest is lost when its caller has given up. */
    private static final double LATE_LOSS = 0.75;

    /** A caller gives up after a gap of this many times the longest allowed one. */
    private static final double PATIENCE_IN_GAPS = 8;

    /** Minimum time that callers wait for a piece. */
    private static final double MIN_PATIENCE_MS = 2_000;

    /** Fraction of a caller's patience at which the risk that it gives up begins. */
    private static final double ABANDON_RISK_START = 0.7;

    /** Loss from waiting while the answer is on time, so that of two plans that are on time the sooner one wins. */
    private static final double WAITING_LOSS = 0.05;

    /**
     * Returns the loss from a first token, from 0 to 1.
     *
     * @param atMs forecast time of the first token
     * @param dueMs time after which it is late
     * @param abandonMs time at which its caller has given up
     */
    public double ofFirstToken(double atMs, double dueMs, double abandonMs, double nowMs) {
        double leftMs = dueMs - nowMs;
        double fraction = leftMs <= 0 ? certainlyLate : (atMs + networkMs - nowMs) / leftMs;
        double abandoned = abandonMs <= dueMs ? 1 : (atMs - dueMs) / (abandonMs - dueMs);
        return WAITING_LOSS * clamp(fraction)
                + (LATE_LOSS - WAITING_LOSS) * ramp(fraction, firstTokenRiskStart)
                + (1 - LATE_LOSS) * clamp(abandoned);
    }

    /** Returns the loss from a gap, from 0 to 1; callers give up when it is much longer than {@code maxGapMs}. */
    public double ofGap(double gapMs, double maxGapMs) {
        double abandoned = clamp((gapMs / patienceMs(maxGapMs) - ABANDON_RISK_START) / (1 - ABANDON_RISK_START));
        return LATE_LOSS * ramp((gapMs + networkMs) / maxGapMs, gapRiskStart) + (1 - LATE_LOSS) * abandoned;
    }

    /** Returns how long a caller waits for a piece before it gives up, estimated from its longest allowed gap. */
    public static double patienceMs(double maxGapMs) {
        return Math.max(MIN_PATIENCE_MS, PATIENCE_IN_GAPS * maxGapMs);
    }

    private double ramp(double fraction, double start) {
        return clamp((fraction - start) / (certainlyLate - start));
    }

    private static double clamp(double fraction) {
        return Math.max(0, Math.min(1, fraction));
    }
}
