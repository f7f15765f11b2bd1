package io.figspan.gateway.store;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a host follows the store itself or is told by others of its cell. A few hosts of each cell follow it;
 * the others do so only while none of these is known to be in touch with the store. Answers fleets in which every call
 * to the store costs, and hosts of which some are cut off from it. It is pure.
 */
public final class StoreWatchPolicy {
    /** Hosts of a cell that follow the store in any case: enough that a cut of a third rarely meets all. */
    static final int FOLLOWERS = 3;

    /** All hosts of a smaller cell follow the store. */
    static final int MIN_SHARED_CELL = 9;

    /** A watch at rest is answered every 2 s. */
    static final long MAX_SOURCE_AGE_MS = 2_600;

    /** A host that has taken over keeps on for so long, so that lost reports don't make it begin and end again. */
    static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(10);

    private long keepUntilNanos;
    private boolean keeps;

    /**
     * Whether to follow the store now.
     *
     * @param rank this host's place among the hosts of its cell, in an order that all of them know, 0 first
     * @param cellSize number of hosts of the cell
     * @param sourceAgesMs for each other host of the cell that follows the store, the time since the store answered it
     */
    public boolean shouldWatch(int rank, int cellSize, List<Long> sourceAgesMs, long nowNanos) {
        if (rank < FOLLOWERS || cellSize < MIN_SHARED_CELL) {
            return true;
        }
        boolean told = sourceAgesMs.stream().anyMatch(ageMs -> ageMs <= MAX_SOURCE_AGE_MS);
        if (!told) {
            keeps = true;
            keepUntilNanos = nowNanos + KEEP_NANOS;
        }
        keeps = keeps && nowNanos - keepUntilNanos < 0;
        return keeps;
    }
}
