package io.figspan.policy.drain;

/** The largest of the latest durations, as a bound for the next one. Not thread-safe. */
final class RecentMaximum {
    /** No duration counts after this many newer ones. */
    static final int WINDOW_SIZE = 256;

    private static final int BUCKETS = 8;
    private static final int BUCKET_SIZE = WINDOW_SIZE / BUCKETS;

    /** Durations below which the bound has a larger margin. */
    private static final int MIN_DURATIONS = 8;

    private static final double MARGIN_FACTOR = 1.25;
    private static final double FEW_DURATIONS_FACTOR = 2;

    private final double[] maximumsNanos = new double[BUCKETS];
    private int bucket;
    private int bucketCount;
    private int count;

    void add(double nanos) {
        if (bucketCount == BUCKET_SIZE) {
            bucket = (bucket + 1) % BUCKETS;
            maximumsNanos[bucket] = 0;
            bucketCount = 0;
        }
        bucketCount++;
        count = Math.min(WINDOW_SIZE, count + 1);
        raise(nanos);
    }

    /** Takes account of a request that has taken this long and has not ended. */
    void raise(double nanos) {
        maximumsNanos[bucket] = Math.max(maximumsNanos[bucket], nanos);
    }

    /** Whether nothing was added. */
    boolean isEmpty() {
        return count == 0;
    }

    /** Whether each duration gives way to newer ones. */
    boolean isFull() {
        return count == WINDOW_SIZE;
    }

    /** Bound for the next duration in nanoseconds. */
    double boundNanos() {
        double maximumNanos = 0;
        for (double candidateNanos : maximumsNanos) {
            maximumNanos = Math.max(maximumNanos, candidateNanos);
        }
        return maximumNanos * (count < MIN_DURATIONS ? FEW_DURATIONS_FACTOR : MARGIN_FACTOR);
    }
}
