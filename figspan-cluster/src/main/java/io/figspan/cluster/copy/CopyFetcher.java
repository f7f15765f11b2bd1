package io.figspan.cluster.copy;

import io.figspan.cluster.message.Peer;
import java.util.concurrent.TimeUnit;

/**
 * Decides when this host reads a copy of the store's items from another host, and from which one. The driver reports
 * the revisions that other hosts announce and the results of reads, and asks for the next decision after each of them.
 * It performs no I/O.
 */
public final class CopyFetcher {
    /**
     * Wait for the store's own notification, which reaches all watching hosts within a few milliseconds of each other.
     */
    static final long NOTIFICATION_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Longest duration of one read. */
    public static final long READ_TIMEOUT_MS = 1_000;

    private Peer source;
    private long sourceRevision;
    private long announcedNanos;
    private boolean reading;

    /** Instruction to the driver. */
    public sealed interface Decision {
        /** Does nothing until another host announces a revision. */
        record Idle() implements Decision {}

        /** Asks for a decision again after a delay. */
        record Wait(long nanos) implements Decision {}

        /** Reads the copy of a host and reports the result. */
        record Read(Peer source) implements Decision {}
    }

    /** Another host has announced the newest revision that it has. */
    public void announced(Peer peer, long revision, long ownRevision, long nowNanos) {
        if (source != null || revision <= ownRevision) {
            return;
        }
        source = peer;
        sourceRevision = revision;
        announcedNanos = nowNanos;
    }

    /**
     * Returns what to do now.
     *
     * @param ownRevision newest revision that this host has
     * @param watchesStore whether this host gets changes from the store itself
     */
    public Decision next(long ownRevision, boolean watchesStore, long nowNanos) {
        if (reading || source == null) {
            return new Decision.Idle();
        }
        if (sourceRevision <= ownRevision) {
            source = null;
            return new Decision.Idle();
        }
        long waitNanos = watchesStore ? announcedNanos + NOTIFICATION_WAIT_NANOS - nowNanos : 0;
        if (waitNanos > 0) {
            return new Decision.Wait(waitNanos);
        }
        reading = true;
        return new Decision.Read(source);
    }

    /** The read of a host's copy has ended. */
    public void readEnded(Peer peer, ReadResult result, long nowNanos) {
        reading = false;
        source = null;
    }
}
