package io.figspan.policy.placing;

import java.util.concurrent.TimeUnit;

/**
 * How often a place is looked for while a request waits. Answers load in which long prompts wait for seconds: each look
 * for one weighs many ways to share its reading, and it is read for so long that some milliseconds of waiting don't
 * matter.
 */
final class LookInterval {
    private static final long MIN_MS = 30;
    private static final long MAX_MS = 200;

    /** Part of the reading that a look may come late by. */
    private static final double OF_READING = 0.1;

    private LookInterval() {}

    /** Time between two looks for a prompt that one engine reads in so long, in nanoseconds. */
    static long nanos(double readMs) {
        double ms = Math.max(MIN_MS, Math.min(MAX_MS, readMs * OF_READING));
        return (long) (ms * TimeUnit.MILLISECONDS.toNanos(1));
    }
}
