package io.figspan.policy.admission;

import io.figspan.policy.placement.EngineSpeed;
import java.util.concurrent.TimeUnit;

/**
 * Estimates the latency of long prompts from those that this host has sent. On the engines, later short prompts run
 * before long ones, and on the host, long prompts queue until an engine has enough free memory.
 *
 * <p>Not thread-safe; times are on the host's monotonic clock.
 */
public final class LongPromptEstimator {
    /** Weight of a new observation in the moving average of the slowdown. */
    private static final double SLOWDOWN_WEIGHT = 0.1;

    /** Time over which the send rate is averaged. */
    private static final double RATE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final double MAX_SLOWDOWN = 8;

    private final EngineSpeed speed;
    private double slowdown = 1;
    private double sentTokens;
    private long sentNanos;

    public LongPromptEstimator(EngineSpeed speed) {
        this.speed = speed;
    }

    /** Records the time to first token of a long prompt, measured from its send to the engine. */
    public void recordFirstToken(long prefillTokens, long elapsedNanos) {
        double observed = (double) elapsedNanos / Math.max(1, speed.prefillNanos(prefillTokens));
        slowdown += SLOWDOWN_WEIGHT * (Math.min(MAX_SLOWDOWN, Math.max(1, observed)) - slowdown);
    }

    /** Records that a long prompt of {@code tokens} tokens was sent to an engine. */
    public void recordSent(long tokens, long nowNanos) {
        sentTokens = decayedSentTokens(nowNanos) + tokens;
        sentNanos = nowNanos;
    }

    /** Average time to first token as a multiple of that on an idle engine; at least 1. */
    public double slowdown() {
        return slowdown;
    }

    /** Predicted time in nanoseconds until {@code queuedTokens} have been sent at the recent send rate. */
    public long waitNanos(long queuedTokens, long nowNanos) {
        double tokensPerNano = decayedSentTokens(nowNanos) / RATE_WINDOW_NANOS;
        double fastestPerNano = speed.prefillTokens(TimeUnit.SECONDS.toNanos(1)) / 1e9;
        return queuedTokens == 0
                ? 0
                : (long) (queuedTokens / Math.min(fastestPerNano, Math.max(tokensPerNano, fastestPerNano / 10)));
    }

    private double decayedSentTokens(long nowNanos) {
        return sentTokens * Math.exp(-(nowNanos - sentNanos) / RATE_WINDOW_NANOS);
    }
}
