package io.figspan.policy.retry;

import java.util.concurrent.TimeUnit;

/**
 * This host's part of a budget of retries that all hosts share: in any window, retries stay below a fraction of the
 * host's own requests and an even part of a fixed allowance. The parts of all hosts add up to no more than the whole,
 * also while hosts can't reach each other.
 */
public final class WindowedRetryBudget {
    /** Slices of the window; requests and retries are counted for each. */
    private static final int SLICES = 10;

    private final double fraction;
    private final double allowance;
    private final long sliceNanos;
    private final long[] requests = new long[SLICES];
    private final long[] retries = new long[SLICES + 1];
    private long currentSlice = Long.MIN_VALUE;
    private int hosts = 1;

    /**
     * A budget.
     *
     * @param fraction retries for each request
     * @param allowance retries of all hosts in a window, besides
     * @param windowMs length of the window
     */
    public WindowedRetryBudget(double fraction, double allowance, long windowMs) {
        this.fraction = fraction;
        this.allowance = allowance;
        this.sliceNanos = Math.max(1, TimeUnit.MILLISECONDS.toNanos(windowMs) / SLICES);
    }

    /** The number of hosts that share the allowance. */
    public void setHostCount(int hostCount) {
        hosts = Math.max(1, hostCount);
    }

    public void recordRequest(long nowNanos) {
        advance(nowNanos);
        requests[index(currentSlice, requests.length)]++;
    }

    /** Takes one retry from the budget; false when there is none. */
    public boolean tryRetry(long nowNanos) {
        advance(nowNanos);
        if (spent() + 1 > fraction * sum(requests) + allowance / hosts) {
            return false;
        }
        retries[index(currentSlice, retries.length)]++;
        return true;
    }

    /** Retries in the window and the slice before it, since a window may begin within a slice. */
    public long spent() {
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
