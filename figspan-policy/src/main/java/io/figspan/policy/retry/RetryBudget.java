package io.figspan.policy.retry;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Budget of retries as a fraction of first attempts, so that retries cannot multiply the load of a failing fleet.
 * Non-idempotent calls are never retried, nor is a call that an engine refused to shed load.
 */
public final class RetryBudget {
    /** Retries per first attempt. */
    public static final double DEFAULT_FRACTION = 0.1;

    /** Most retries that are saved up while all goes well. */
    static final double MAX_SAVED_RETRIES = 20;

    static final long FIRST_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final double fraction;
    private double savedRetries;

    public RetryBudget(double fraction) {
        this.fraction = fraction;
    }

    /** What failed. */
    public enum Failure {
        /** The connection broke or the engine died. */
        BROKEN,
        /** The engine answered that it sheds load. */
        SHED
    }

    /** Counts a first attempt; retries are not counted. */
    public void firstAttempt() {
        savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + fraction);
    }

    /**
     * Asks for a retry of an attempt that failed.
     *
     * @param attempt number of attempts made so far, from 1
     * @param leftNanos time left to the deadline
     * @return the delay in nanoseconds before the retry, with full jitter; empty when there is to be none
     */
    public OptionalLong tryRetry(
            boolean idempotent, Failure failure, int attempt, long leftNanos, RandomGenerator random) {
        if (!idempotent || failure == Failure.SHED || savedRetries < 1) {
            return OptionalLong.empty();
        }
        long ceilingNanos = Math.min(MAX_DELAY_NANOS, FIRST_DELAY_NANOS << Math.min(10, Math.max(0, attempt - 1)));
        long delayNanos = random.nextLong(ceilingNanos + 1);
        if (delayNanos >= leftNanos) {
            return OptionalLong.empty();
        }
        savedRetries -= 1;
        return OptionalLong.of(delayNanos);
    }

    public double savedRetries() {
        return savedRetries;
    }
}
