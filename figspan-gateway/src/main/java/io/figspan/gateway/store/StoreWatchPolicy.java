package io.figspan.gateway.store;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a host watches the store itself or relies on the reports of other hosts of its cell. A few hosts of
 * each cell always watch; the others watch only while no watching host is known to get responses from the store. This
 * bounds the number of calls in fleets where each call to the store costs, and covers a partition between the store and
 * some of the hosts. It performs no I/O.
 */
public final class StoreWatchPolicy {
    /**
     * Hosts of a cell that always watch: enough that a partition of a third of the hosts rarely affects all of them.
     */
    static final int ALWAYS_WATCHING = 3;

    /** In smaller cells all hosts watch the store. */
    static final int MIN_SHARED_CELL_SIZE = 9;

    /**
     * Longest time that the store holds a watch on which other hosts rely. With it, the others notice within less than
     * two seconds, the shortest time in which a draining server must be known, that all watching hosts receive nothing.
     */
    static final long SHARED_WATCH_WAIT_MS = 1_000;

    /**
     * Oldest response to another host that still counts as contact with the store: a watch without changes and a slow
     * response to it.
     */
    static final long MAX_SOURCE_AGE_MS = 1_400;

    /**
     * How long a host that has taken over keeps watching, so that lost reports don't make it start and stop repeatedly.
     */
    static final long TAKEOVER_NANOS = TimeUnit.SECONDS.toNanos(10);

    private long takeoverEndNanos;
    private boolean hasTakenOver;

    /** Longest time that the store shall hold a watch of the host with this rank in a cell of this size. */
    public long watchWaitMs(int rank, int cellSize) {
        boolean othersRely = rank < ALWAYS_WATCHING && cellSize >= MIN_SHARED_CELL_SIZE;
        return othersRely ? SHARED_WATCH_WAIT_MS : PrefixWatcher.WATCH_WAIT_MS;
    }

    /**
     * Whether to watch the store now.
     *
     * @param rank this host's position among the hosts of its cell, in an order that all of them compute alike; 0 is
     *     first
     * @param cellSize number of hosts of the cell
     * @param sourceAgesMs for each other host of the cell that watches the store, the time since the store last
     *     responded to it
     */
    public boolean shouldWatch(int rank, int cellSize, List<Long> sourceAgesMs, long nowNanos) {
        if (rank < ALWAYS_WATCHING || cellSize < MIN_SHARED_CELL_SIZE) {
            return true;
        }
        boolean hasSource = sourceAgesMs.stream().anyMatch(ageMs -> ageMs <= MAX_SOURCE_AGE_MS);
        if (!hasSource) {
            hasTakenOver = true;
            takeoverEndNanos = nowNanos + TAKEOVER_NANOS;
        }
        hasTakenOver = hasTakenOver && nowNanos - takeoverEndNanos < 0;
        return hasTakenOver;
    }
}
