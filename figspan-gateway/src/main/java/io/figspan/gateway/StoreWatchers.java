package io.figspan.gateway;

import io.figspan.core.event.Part;
import io.figspan.core.id.HostId;
import io.figspan.core.util.RendezvousHash;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.store.StoreWatchPolicy;
import io.figspan.gateway.store.StoreWatcher;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Watchers of the store's prefixes, which are paused while other hosts of the cell watch the store. All methods run on
 * the event loop.
 */
final class StoreWatchers {
    /** Rendezvous key of the order in which the hosts of a cell watch the store. */
    private static final String ORDER_KEY = "store";

    private final HostId self;
    private final DecisionLog log;
    private final StoreWatchPolicy policy = new StoreWatchPolicy();
    private final List<StoreWatcher> watchers = new ArrayList<>();
    private boolean watching = true;

    StoreWatchers(HostId self, DecisionLog log) {
        this.self = self;
        this.log = log;
    }

    /** Adds the watcher of one prefix. */
    void add(StoreWatcher watcher) {
        watchers.add(watcher);
    }

    boolean isWatching() {
        return watching;
    }

    /** Makes all later calls at another address. */
    void setAddress(InetSocketAddress store) {
        watchers.forEach(watcher -> watcher.setAddress(store));
    }

    /**
     * Decides again whether this host watches the store.
     *
     * @param cell the hosts of the cell, including this one
     * @param sourceAgesMs for each other host that watches the store, the time since the store last responded to it
     */
    void updateWatching(Set<HostId> cell, List<Long> sourceAgesMs, long nowNanos) {
        int rank = RendezvousHash.order(ORDER_KEY, cell).indexOf(self);
        watchers.forEach(watcher -> watcher.setWatchWaitMs(policy.watchWaitMs(rank, cell.size())));
        boolean shouldWatch = policy.shouldWatch(rank, cell.size(), sourceAgesMs, nowNanos);
        if (shouldWatch == watching) {
            return;
        }
        watching = shouldWatch;
        log.info(Part.SETTINGS, shouldWatch ? "storeFollowed" : "storeLeftToOthers")
                .number("rank", rank)
                .number("cell", cell.size())
                .write();
        watchers.forEach(watcher -> watcher.setWatching(shouldWatch));
    }

    /** Time since the store last responded for every prefix, in milliseconds; negative if it does not. */
    long lastResponseAgeMs(long nowNanos) {
        long oldestMs = 0;
        for (StoreWatcher watcher : watchers) {
            long ageMs = watcher.lastResponseAgeMs(nowNanos);
            if (ageMs < 0) {
                return ageMs;
            }
            oldestMs = Math.max(oldestMs, ageMs);
        }
        return oldestMs;
    }
}
