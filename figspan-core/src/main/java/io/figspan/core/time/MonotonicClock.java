package io.figspan.core.time;

/** Source of monotonic time. Decision logic receives times as arguments; only the drivers around it read a clock. */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the nanoseconds since an arbitrary origin; never decreases within one process. */
    long nowNanos();

    static MonotonicClock system() {
        return System::nanoTime;
    }
}
