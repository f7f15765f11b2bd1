package io.figspan.core.time;

import java.util.concurrent.TimeUnit;

/**
 * Time on the local monotonic clock from which on a request must not be acted on. Messages carry the remaining time
 * instead, because monotonic clocks of different processes cannot be compared.
 *
 * @param atNanos time of the {@link MonotonicClock}, in nanoseconds
 */
public record Deadline(long atNanos) {
    /** Returns the deadline that is {@code durationMs} milliseconds after {@code nowNanos}. */
    public static Deadline after(long nowNanos, long durationMs) {
        return new Deadline(nowNanos + TimeUnit.MILLISECONDS.toNanos(durationMs));
    }

    public boolean hasPassed(long nowNanos) {
        return nowNanos - atNanos >= 0;
    }

    /** Returns the remaining time in milliseconds, rounded down; 0 if the deadline has passed. */
    public long leftMs(long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(atNanos - nowNanos));
    }
}
