package io.figspan.policy.retry;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Limits retries to a fraction of first attempts, so that retries cannot amplify the load on a failing fleet. Calls
 * that are not idempotent and calls that an engine refused to shed load are never retried.
 *
 * <p>Not thread-safe.
 */
public final class RetryBudget {
    /** Default number of retries per first attempt. */
    public static final double DEFAULT_FRACTION = 0.1;

    /** Maximum number of retries that accumulate while no attempt fails. */
    static final double MAX_AVAILABLE_RETRIES = 20;

    static final long INITIAL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final double fraction;
    private double availableRetries;

    public RetryBudget(double fraction) {
        this.fraction = fraction;
    }

    /** Reason why an attempt failed. */
    public enum Failure {
        /** The connection was lost or the engine failed. */
        BACKEND_FAILED,
        /** The engine refused the call to shed load. */
        LOAD_SHED
    }

    /** Adds the fraction for a first attempt to the budget; not called for retries. */
    public void recordFirstAttempt() {
        availableRetries = Math.min(MAX_AVAILABLE_RETRIES, availableRetries + fraction);
    }

    /**
     * Takes a retry from the budget for a failed attempt.
     *
     * @param attempt number of attempts made so far, at least 1
     * @param remainingNanos time left until the deadline
     * @return the delay in nanoseconds before the retry, an exponential backoff with full jitter; empty if the attempt
     *     must not be retried
     */
    public OptionalLong tryRetry(
            boolean idempotent, Failure failure, int attempt, long remainingNanos, RandomGenerator random) {
        if (!idempotent || failure == Failure.LOAD_SHED || availableRetries < 1) {
            return OptionalLong.empty();
        }
        long ceilingNanos = Math.min(MAX_DELAY_NANOS, INITIAL_DELAY_NANOS << Math.min(10, Math.max(0, attempt - 1)));
        long delayNanos = random.nextLong(ceilingNanos + 1);
        if (delayNanos >= remainingNanos) {
            return OptionalLong.empty();
        }
        availableRetries -= 1;
        return OptionalLong.of(delayNanos);
    }

    public double availableRetries() {
        return availableRetries;
    }
}
