package io.figspan.policy.retry;

import java.util.concurrent.TimeUnit;

/**
 * One host's share of a retry budget that all hosts share. Within any window, retries do not exceed a fraction of the
 * host's own requests plus an equal share of a fixed allowance. The shares of all hosts never add up to more than the
 * budget, even during a network partition.
 *
 * <p>Not thread-safe; times are on the host's monotonic clock.
 */
public final class WindowedRetryBudget {
    /** Number of equal slices of the sliding window; requests and retries are counted per slice. */
    private static final int SLICES = 10;

    private final double fraction;
    private final double allowance;
    private final long sliceNanos;
    private final long[] requests = new long[SLICES];
    private final long[] retries = new long[SLICES + 1];
    private long currentSlice = Long.MIN_VALUE;
    private int hostCount = 1;

    /**
     * Creates a budget for a single host.
     *
     * @param fraction retries allowed per request
     * @param allowance further retries allowed per window for all hosts together
     * @param windowMs length of the window in milliseconds
     */
    public WindowedRetryBudget(double fraction, double allowance, long windowMs) {
        this.fraction = fraction;
        this.allowance = allowance;
        this.sliceNanos = Math.max(1, TimeUnit.MILLISECONDS.toNanos(windowMs) / SLICES);
    }

    /** Sets the number of hosts that share the allowance. */
    public void setHostCount(int newHostCount) {
        hostCount = Math.max(1, newHostCount);
    }

    /** Counts a request; retries are not counted. */
    public void recordRequest(long nowNanos) {
        advance(nowNanos);
        requests[index(currentSlice, requests.length)]++;
    }

    /** Takes one retry from the budget; returns false if it is exhausted. */
    public boolean tryRetry(long nowNanos) {
        advance(nowNanos);
        if (retriesInWindow() + 1 > fraction * sum(requests) + allowance / hostCount) {
            return false;
        }
        retries[index(currentSlice, retries.length)]++;
        return true;
    }

    /** Retries in the window and in the slice before it, because a window can begin within a slice. */
    public long retriesInWindow() {
        return sum(retries);
    }

    private void advance(long nowNanos) {
        long slice = Math.floorDiv(nowNanos, sliceNanos);
        if (currentSlice == Long.MIN_VALUE || slice - currentSlice > SLICES) {
            currentSlice = slice - SLICES - 1;
        }
        while (currentSlice < slice) {
            currentSlice++;
            requests[index(currentSlice, requests.length)] = 0;
            retries[index(currentSlice, retries.length)] = 0;
        }
    }

    private static int index(long slice, int length) {
        return (int) Math.floorMod(slice, (long) length);
    }

    private static long sum(long[] counts) {
        long total = 0;
        for (long count : counts) {
            total += count;
        }
        return total;
    }
}
