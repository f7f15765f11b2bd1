package io.figspan.cluster.copy;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Outcome of reading a copy from another host. */
public enum ReadResult {
    /** The copy was read and applied; a host that still announces more than it serves isn't read in a loop. */
    COMPLETE(TimeUnit.MILLISECONDS.toNanos(40)),

    /** The host sends copies to others at the moment. */
    BUSY(TimeUnit.MILLISECONDS.toNanos(40)),

    /** The host did not respond in time, or with something else than a copy. */
    FAILED(TimeUnit.MILLISECONDS.toNanos(300));

    private final long pauseNanos;

    ReadResult(long pauseNanos) {
        this.pauseNanos = pauseNanos;
    }

    /** Time until the same host is asked again; between one and two pauses, so that hosts don't ask in step. */
    long pauseNanos(RandomGenerator random) {
        return pauseNanos + random.nextLong(pauseNanos);
    }
}
