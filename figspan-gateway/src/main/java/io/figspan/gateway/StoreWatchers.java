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

/** Follows the store, or leaves that to other hosts of the cell. All methods run on the event loop. */
final class StoreWatchers {
    /** Key of the order in which the hosts of a cell follow the store. */
    private static final String ORDER_KEY = "store";

    private final HostId self;
    private final DecisionLog log;
    private final StoreWatchPolicy duty = new StoreWatchPolicy();
    private final List<StoreWatcher> followers = new ArrayList<>();
    private boolean following = true;

    StoreWatchers(HostId self, DecisionLog log) {
        this.self = self;
        this.log = log;
    }

    /** Adds the follower of one prefix. */
    void add(StoreWatcher follower) {
        followers.add(follower);
    }

    boolean isWatching() {
        return following;
    }

    /** Makes all later calls at another address. */
    void setAddress(InetSocketAddress store) {
        followers.forEach(follower -> follower.setAddress(store));
    }

    /**
     * Looks again at whether this host has to follow the store.
     *
     * @param cell the hosts of the cell, this one included
     * @param sourceAgesMs for each other host that follows the store, the time since it was answered
     */
    void review(Set<HostId> cell, List<Long> sourceAgesMs, long nowNanos) {
        int rank = RendezvousHash.order(ORDER_KEY, cell).indexOf(self);
        boolean shouldWatch = duty.shouldWatch(rank, cell.size(), sourceAgesMs, nowNanos);
        if (shouldWatch == following) {
            return;
        }
        following = shouldWatch;
        log.info(Part.SETTINGS, shouldWatch ? "storeFollowed" : "storeLeftToOthers")
                .number("rank", rank)
                .number("cell", cell.size())
                .write();
        followers.forEach(follower -> follower.setWatching(shouldWatch));
    }

    /** Time since the store answered about all prefixes, in milliseconds; negative when it does not. */
    long lastResponseAgeMs(long nowNanos) {
        long oldestMs = 0;
        for (StoreWatcher follower : followers) {
            long ageMs = follower.lastResponseAgeMs(nowNanos);
            if (ageMs < 0) {
                return ageMs;
            }
            oldestMs = Math.max(oldestMs, ageMs);
        }
        return oldestMs;
    }
}
