package io.figspan.standin.platform;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Model of a weight store with a limited transfer rate that serves loads in FIFO order. It only computes when a load is
 * done; the caller does the waiting. Thread-safe.
 */
public final class WeightStore {
    /** Maximum time from request to end of a load; a load that would take longer is refused. */
    static final long MAX_WAIT_NANOS = TimeUnit.MINUTES.toNanos(10);

    private long megabytesPerSecond;
    private long busyUntilNanos;
    private boolean used;
    private long loads;
    private long loadedMegabytes;

    public WeightStore(long megabytesPerSecond) {
        this.megabytesPerSecond = megabytesPerSecond;
    }

    /** Sets the rate of later loads; loads already reserved keep their end. */
    public synchronized void setMegabytesPerSecond(long newMegabytesPerSecond) {
        megabytesPerSecond = newMegabytesPerSecond;
    }

    /** Queues a load; returns the time from now until it is done, in nanoseconds, or empty if the queue is too long. */
    public synchronized OptionalLong reserve(long megabytes, long nowNanos) {
        boolean idle = !used || nowNanos - busyUntilNanos >= 0;
        long startNanos = idle ? nowNanos : busyUntilNanos;
        double durationNanos = (double) megabytes * TimeUnit.SECONDS.toNanos(1) / megabytesPerSecond;
        if (startNanos - nowNanos + durationNanos > MAX_WAIT_NANOS) {
            return OptionalLong.empty();
        }
        used = true;
        busyUntilNanos = startNanos + (long) durationNanos;
        loads++;
        loadedMegabytes += megabytes;
        return OptionalLong.of(busyUntilNanos - nowNanos);
    }

    public synchronized long loads() {
        return loads;
    }

    public synchronized long loadedMegabytes() {
        return loadedMegabytes;
    }
}
