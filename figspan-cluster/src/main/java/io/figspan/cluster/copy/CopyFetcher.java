package io.figspan.cluster.copy;

import io.figspan.cluster.message.Peer;
import io.figspan.core.id.HostId;
import io.figspan.core.id.StoreRevision;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when this host reads a copy of the store's items from another host, and from which one. Sources are chosen at
 * random among the hosts with a newer revision, so that those which have read a copy soon serve others. The driver
 * reports the revisions that other hosts announce and the results of reads, and asks for the next decision after each
 * of them. It performs no I/O.
 */
public final class CopyFetcher {
    /**
     * Wait for the store's own notification, which reaches all watching hosts within a few milliseconds of each other.
     */
    static final long NOTIFICATION_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Three intervals of the announcements; a host that is silent for longer may be gone. */
    static final long ANNOUNCEMENT_VALID_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * How long a host counts as behind a revision that is no longer announced; bounded for a revision that nobody can
     * deliver.
     */
    static final long MAX_BEHIND_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Longest time of a read in which no byte arrives. */
    public static final long STALL_TIMEOUT_MS = 1_000;

    /** Longest duration of a read that makes progress: a megabyte over a link of 2 Mbit/s. */
    public static final long READ_TIMEOUT_MS = 4_000;

    /** More hosts than a cell has; further ones are ignored until others are up to date or silent. */
    static final int MAX_SOURCES = 64;

    private final RandomGenerator random;
    private final Map<HostId, Source> sources = new HashMap<>();
    private StoreRevision newestRevision = StoreRevision.NONE;
    private long newestAnnouncedNanos;
    private boolean reading;
    private boolean hasFailed;
    private boolean behind;
    private long behindSinceNanos;

    /** A host that has announced a newer revision than this host has. */
    private static final class Source {
        Peer peer;
        StoreRevision revision;
        long announcedNanos;
        long retryNanos;

        boolean isUseful(StoreRevision ownRevision, long nowNanos) {
            return revision.isNewerThan(ownRevision) && nowNanos - announcedNanos <= ANNOUNCEMENT_VALID_NANOS;
        }
    }

    /** Instruction to the driver. */
    public sealed interface Decision {
        /** Does nothing until another host announces a revision or a read has ended. */
        record Idle() implements Decision {}

        /** Asks for a decision again after a delay. */
        record Wait(long nanos) implements Decision {}

        /** Reads the copy of a host and reports the result. */
        record Read(Peer source) implements Decision {}
    }

    public CopyFetcher(RandomGenerator random) {
        this.random = random;
    }

    /** Another host has announced the newest revision that it has. */
    public void announced(Peer peer, StoreRevision revision, StoreRevision ownRevision, long nowNanos) {
        if (!revision.isNewerThan(ownRevision)) {
            sources.remove(peer.host());
            return;
        }
        if (!newestRevision.isNewerThan(revision)) {
            newestRevision = revision;
            newestAnnouncedNanos = nowNanos;
        }
        if (sources.size() >= MAX_SOURCES && !sources.containsKey(peer.host())) {
            return;
        }
        Source source = sources.computeIfAbsent(peer.host(), ignored -> newSource(nowNanos));
        source.peer = peer;
        source.revision = revision;
        source.announcedNanos = nowNanos;
    }

    private static Source newSource(long nowNanos) {
        Source source = new Source();
        source.retryNanos = nowNanos;
        return source;
    }

    /** Whether another host has announced a newer revision than this host has, even if it is silent now. */
    public boolean isBehind(StoreRevision ownRevision, long nowNanos) {
        return newestRevision.isNewerThan(ownRevision) && nowNanos - newestAnnouncedNanos < MAX_BEHIND_NANOS;
    }

    /** Whether this host is behind and has failed to read the copy of another host, so that it needs the store. */
    public boolean needsStore(StoreRevision ownRevision, long nowNanos) {
        return hasFailed && isBehind(ownRevision, nowNanos);
    }

    /**
     * Returns what to do now.
     *
     * @param ownRevision newest revision that this host has
     * @param watchesStore whether this host gets changes from the store itself
     */
    public Decision next(StoreRevision ownRevision, boolean watchesStore, long nowNanos) {
        sources.values().removeIf(source -> !source.isUseful(ownRevision, nowNanos));
        updateBehind(!sources.isEmpty(), nowNanos);
        if (!behind || reading) {
            return new Decision.Idle();
        }
        long waitNanos = watchesStore ? behindSinceNanos + NOTIFICATION_WAIT_NANOS - nowNanos : 0;
        if (waitNanos > 0) {
            return new Decision.Wait(waitNanos);
        }
        List<Source> ready = sources.values().stream()
                .filter(source -> nowNanos - source.retryNanos >= 0)
                .toList();
        if (ready.isEmpty()) {
            return new Decision.Wait(nanosUntilFirstRetry(nowNanos));
        }
        reading = true;
        return new Decision.Read(ready.get(random.nextInt(ready.size())).peer);
    }

    private void updateBehind(boolean isBehind, long nowNanos) {
        if (isBehind && !behind) {
            behindSinceNanos = nowNanos;
        }
        behind = isBehind;
    }

    private long nanosUntilFirstRetry(long nowNanos) {
        return sources.values().stream()
                .mapToLong(source -> source.retryNanos - nowNanos)
                .min()
                .orElseThrow();
    }

    /** The read of a host's copy has ended. */
    public void readEnded(Peer peer, ReadResult result, long nowNanos) {
        reading = false;
        hasFailed = result == ReadResult.FAILED;
        Source source = sources.get(peer.host());
        if (source != null) {
            source.retryNanos = nowNanos + result.pauseNanos(random);
        }
    }
}
