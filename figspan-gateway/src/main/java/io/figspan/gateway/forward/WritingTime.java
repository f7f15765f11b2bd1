package io.figspan.gateway.forward;

import java.util.concurrent.TimeUnit;

/**
 * How long a server has written events of one response. A pause of the server, of this host or of the caller counts for
 * a short time only, since nothing shows that the server was at work in it. Times are monotonic, in nanoseconds.
 */
final class WritingTime {
    /** A request under which a server has written events for so long does not crash it. */
    static final long PROVEN_SOUND_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Longest time that one gap between events counts for; longer than the pauses of sound servers. */
    static final long MAX_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private long lastEventNanos;
    private long writtenNanos;

    /** The first event of a response has arrived. */
    void restart(long nowNanos) {
        lastEventNanos = nowNanos;
        writtenNanos = 0;
    }

    /** A further event has arrived. */
    void eventArrived(long nowNanos) {
        writtenNanos += Math.min(MAX_GAP_NANOS, nowNanos - lastEventNanos);
        lastEventNanos = nowNanos;
    }

    boolean isProvenSound() {
        return writtenNanos >= PROVEN_SOUND_NANOS;
    }
}
