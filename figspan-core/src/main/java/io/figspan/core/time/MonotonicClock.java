package io.figspan.core.time;

/** Source of monotonic time. Decision logic gets its times as arguments; only drivers read a clock. */
@FunctionalInterface
public interface MonotonicClock {
    /** Nanoseconds since an arbitrary origin; never decreases within one process. */
    long nowNanos();

    static MonotonicClock system() {
        return System::nanoTime;
    }
}
