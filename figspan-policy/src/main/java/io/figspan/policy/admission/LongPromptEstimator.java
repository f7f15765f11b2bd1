package io.figspan.policy.admission;

import io.figspan.policy.placement.EngineSpeed;
import java.util.concurrent.TimeUnit;

/**
 * What this host has observed of its long prompts: short prompts overtake them on the engines, and they wait for
 * memory. Predictions for new long prompts follow these observations.
 */
public final class LongPromptEstimator {
    /** Weight of the newest observation of the slowdown. */
    private static final double STRETCH_WEIGHT = 0.1;

    /** Time over which the rate of sending is averaged. */
    private static final double RATE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final double MAX_STRETCH = 8;

    private final EngineSpeed speed;
    private double slowdown = 1;
    private double sentTokens;
    private long sentNanos;

    public LongPromptEstimator(EngineSpeed speed) {
        this.speed = speed;
    }

    /** Records the time from sending a long prompt to its first token. */
    public void recordFirstToken(long prefillTokens, long tookNanos) {
        double observed = (double) tookNanos / Math.max(1, speed.prefillNanos(prefillTokens));
        slowdown += STRETCH_WEIGHT * (Math.min(MAX_STRETCH, Math.max(1, observed)) - slowdown);
    }

    /** Records that a long prompt was sent to an engine. */
    public void recordSent(long tokens, long nowNanos) {
        sentTokens = decayed(nowNanos) + tokens;
        sentNanos = nowNanos;
    }

    /** Time to first token of a prompt on an engine, in multiples of the time on an idle one. */
    public double slowdown() {
        return slowdown;
    }

    /** Predicted wait on this host behind other long prompts, at the rate at which they were sent recently. */
    public long waitNanos(long queuedTokens, long nowNanos) {
        double tokensPerNano = decayed(nowNanos) / RATE_NANOS;
        double fastestPerNano = speed.prefillTokens(TimeUnit.SECONDS.toNanos(1)) / 1e9;
        return queuedTokens == 0
                ? 0
                : (long) (queuedTokens / Math.min(fastestPerNano, Math.max(tokensPerNano, fastestPerNano / 10)));
    }

    private double decayed(long nowNanos) {
        return sentTokens * Math.exp(-(nowNanos - sentNanos) / RATE_NANOS);
    }
}
