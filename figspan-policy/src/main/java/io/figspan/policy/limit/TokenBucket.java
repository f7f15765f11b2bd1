package io.figspan.policy.limit;

/**
 * Token bucket that starts empty. A request larger than the capacity succeeds when the bucket is full and leaves a
 * negative level, so that the average rate is kept for requests of any size.
 *
 * <p>Not thread-safe; times are on the host's monotonic clock.
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

    /** Changes rate and capacity from now on; tokens above the new capacity are discarded. */
    public void setRate(double newTokensPerSecond, double newCapacityTokens, long nowNanos) {
        refill(nowNanos);
        tokensPerSecond = Math.max(0, newTokensPerSecond);
        capacityTokens = Math.max(0, newCapacityTokens);
        levelTokens = Math.min(levelTokens, capacityTokens);
    }

    /** Takes tokens if the level suffices; returns false and takes none otherwise. */
    public boolean tryTake(long tokens, long nowNanos) {
        refill(nowNanos);
        if (levelTokens < requiredLevel(tokens) || capacityTokens <= 0) {
            return false;
        }
        levelTokens -= tokens;
        return true;
    }

    /**
     * Time until {@link #tryTake} can succeed for this size; {@link Long#MAX_VALUE} if it cannot at the current rate.
     */
    public long waitNanos(long tokens, long nowNanos) {
        refill(nowNanos);
        double missing = requiredLevel(tokens) - levelTokens;
        if (capacityTokens <= 0 || (missing > 0 && tokensPerSecond <= 0)) {
            return Long.MAX_VALUE;
        }
        return missing <= 0 ? 0 : (long) Math.ceil(missing / tokensPerSecond * NANOS_PER_SECOND);
    }

    /** Returns tokens that were taken and not used, up to the capacity. */
    public void refund(long tokens, long nowNanos) {
        refill(nowNanos);
        levelTokens = Math.min(capacityTokens, levelTokens + tokens);
    }

    public double levelTokens(long nowNanos) {
        refill(nowNanos);
        return levelTokens;
    }

    private double requiredLevel(long tokens) {
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
