package io.figspan.policy.placing;

import java.util.concurrent.TimeUnit;

/**
 * Computes how often placement is retried for a queued prompt. Designed for loads in which long prompts are queued for
 * seconds: each attempt evaluates many ways to split the prefill, which takes so long itself that a delay of some
 * milliseconds doesn't matter.
 */
final class PlacementRetryInterval {
    private static final long MIN_MS = 30;
    private static final long MAX_MS = 200;

    /** Retry interval as a fraction of the prefill time. */
    private static final double PREFILL_FRACTION = 0.1;

    private PlacementRetryInterval() {}

    /** Returns the interval in nanoseconds for a prompt that one engine prefills in {@code prefillMs}. */
    static long nanos(double prefillMs) {
        double ms = Math.max(MIN_MS, Math.min(MAX_MS, prefillMs * PREFILL_FRACTION));
        return (long) (ms * TimeUnit.MILLISECONDS.toNanos(1));
    }
}
