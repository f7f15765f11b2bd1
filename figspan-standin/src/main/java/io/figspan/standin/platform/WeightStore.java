package io.figspan.standin.platform;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * A weight store whose rate all loads share, first come, first served. It computes when each load is done; the caller
 * waits until then. Safe for use by several threads.
 */
public final class WeightStore {
    /** Longest wait that is accepted; a load that would take longer is refused. */
    static final long MAX_WAIT_NANOS = TimeUnit.MINUTES.toNanos(10);

    private long megabytesPerSecond;
    private long busyUntilNanos;
    private boolean used;
    private long loads;
    private long loadedMegabytes;

    public WeightStore(long megabytesPerSecond) {
        this.megabytesPerSecond = megabytesPerSecond;
    }

    /** Rate of later loads. */
    public synchronized void setMegabytesPerSecond(long newMegabytesPerSecond) {
        megabytesPerSecond = newMegabytesPerSecond;
    }

    /** Reserves a load and returns how long it takes from now; empty when the queue is too long. */
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
