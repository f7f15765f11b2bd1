package io.figspan.core.time;

import java.util.concurrent.TimeUnit;

/** A point on the local monotonic clock after which a request must not be acted on. It travels as time left. */
public record Deadline(long atNanos) {
    public static Deadline after(long nowNanos, long durationMs) {
        return new Deadline(nowNanos + TimeUnit.MILLISECONDS.toNanos(durationMs));
    }

    public boolean hasPassed(long nowNanos) {
        return nowNanos - atNanos >= 0;
    }

    /** Time left in milliseconds, rounded down; 0 when the deadline has passed. */
    public long leftMs(long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(atNanos - nowNanos));
    }
}
