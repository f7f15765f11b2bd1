package io.figspan.policy.limit;

/**
 * Token bucket that starts empty. A request larger than the bucket is let through when the bucket is full and leaves
 * it in debt, so that the rate holds for prompts of every length.
 */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double tokensPerSecond;
    private double capacityTokens;
    private double levelTokens;
    private long updatedNanos;

    public TokenBucket(double tokensPerSecond, double capacityTokens, long nowNanos) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacityTokens = capacityTokens;
        this.updatedNanos = nowNanos;
    }

    /** Changes rate and capacity from now on; tokens above the new capacity are lost. */
    public void setRate(double newTokensPerSecond, double newCapacityTokens, long nowNanos) {
        refill(nowNanos);
        tokensPerSecond = Math.max(0, newTokensPerSecond);
        capacityTokens = Math.max(0, newCapacityTokens);
        levelTokens = Math.min(levelTokens, capacityTokens);
    }

    public boolean tryTake(long tokens, long nowNanos) {
        refill(nowNanos);
        if (levelTokens < required(tokens) || capacityTokens <= 0) {
            return false;
        }
        levelTokens -= tokens;
        return true;
    }

    /** Time until {@link #tryTake} can succeed for this size; {@link Long#MAX_VALUE} when it never can. */
    public long waitNanos(long tokens, long nowNanos) {
        refill(nowNanos);
        double missing = required(tokens) - levelTokens;
        if (capacityTokens <= 0 || (missing > 0 && tokensPerSecond <= 0)) {
            return Long.MAX_VALUE;
        }
        return missing <= 0 ? 0 : (long) Math.ceil(missing / tokensPerSecond * NANOS_PER_SECOND);
    }

    /** Returns tokens of a request that was let through and did not use them. */
    public void refund(long tokens, long nowNanos) {
        refill(nowNanos);
        levelTokens = Math.min(capacityTokens, levelTokens + tokens);
    }

    public double levelTokens(long nowNanos) {
        refill(nowNanos);
        return levelTokens;
    }

    private double required(long tokens) {
        return Math.min((double) tokens, capacityTokens);
    }

    private void refill(long nowNanos) {
        long elapsedNanos = nowNanos - updatedNanos;
        if (elapsedNanos <= 0) {
            return;
        }
        levelTokens = Math.min(capacityTokens, levelTokens + elapsedNanos * tokensPerSecond / NANOS_PER_SECOND);
        updatedNanos = nowNanos;
    }
}
