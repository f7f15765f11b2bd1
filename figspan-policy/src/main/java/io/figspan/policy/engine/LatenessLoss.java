package io.figspan.policy.engine;

/**
 * The part of an answer's worth that is expected to be lost when its first token, or a pause within it, comes late. The
 * loss grows as a ramp over the part of the allowed time that a forecast takes, since forecasts are not exact.
 *
 * @param firstTokenStart part of the time left at which the risk of a late first token begins
 * @param gapStart part of the longest pause at which the risk of a longer one begins
 * @param certain part at which lateness is taken as certain
 * @param netMs time that the network takes besides
 */
public record LatenessLoss(double firstTokenStart, double gapStart, double certain, double netMs) {
    /** Leaves room for requests that other hosts send at the same time. */
    public static final LatenessLoss DEFAULT = new LatenessLoss(0.55, 0.8, 1.02, 4);

    /** Part of the worth that is lost when an answer is late; the rest is lost when its caller has given up. */
    private static final double LATE = 0.75;

    /** A caller leaves after a pause of this many times the longest one that is on time. */
    private static final double PATIENCE_GAPS = 8;

    /** Callers wait for a piece for this long at least. */
    private static final double MIN_PATIENCE_MS = 2_000;

    /** Part of a caller's patience at which the risk that it leaves begins. */
    private static final double GIVE_UP_START = 0.7;

    /**
     * Part of the worth that waiting costs while there is time, so that of two plans in time the sooner one is taken.
     */
    private static final double WAITING = 0.05;

    /**
     * The part lost by a first token.
     *
     * @param atMs when it is forecast
     * @param dueMs when it is late
     * @param lostMs when its caller has given up
     */
    public double ofFirstToken(double atMs, double dueMs, double lostMs, double nowMs) {
        double leftMs = dueMs - nowMs;
        double part = leftMs <= 0 ? certain : (atMs + netMs - nowMs) / leftMs;
        double givenUp = lostMs <= dueMs ? 1 : (atMs - dueMs) / (lostMs - dueMs);
        return WAITING * clamp(part) + (LATE - WAITING) * ramp(part, firstTokenStart) + (1 - LATE) * clamp(givenUp);
    }

    /** The part lost by a pause; callers leave when it is much longer than the longest one that is on time. */
    public double ofGap(double gapMs, double maxGapMs) {
        double givenUp = clamp((gapMs / patienceMs(maxGapMs) - GIVE_UP_START) / (1 - GIVE_UP_START));
        return LATE * ramp((gapMs + netMs) / maxGapMs, gapStart) + (1 - LATE) * givenUp;
    }

    /** How long a caller waits for a piece before it leaves, as far as it follows from the longest pause on time. */
    public static double patienceMs(double maxGapMs) {
        return Math.max(MIN_PATIENCE_MS, PATIENCE_GAPS * maxGapMs);
    }

    private double ramp(double part, double start) {
        return clamp((part - start) / (certain - start));
    }

    private static double clamp(double part) {
        return Math.max(0, Math.min(1, part));
    }
}
