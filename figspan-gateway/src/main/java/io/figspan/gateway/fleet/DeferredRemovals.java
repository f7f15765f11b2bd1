package io.figspan.gateway.fleet;

import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Removals that were received while the store was unreachable, or in its first response after that. The leases of live
 * servers may have expired meanwhile; such servers register again soon after the store is back. A removal is therefore
 * carried out only if the entry is still missing after a delay.
 */
final class DeferredRemovals {
    /** Live servers register again within about two seconds after the store is back. */
    static final long DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

    private final Map<String, Deferred> deferred = new LinkedHashMap<>();

    private record Deferred(Item removal, long dueNanos) {}

    void defer(Item removal, long nowNanos) {
        deferred.putIfAbsent(removal.key(), new Deferred(removal, nowNanos + DELAY_NANOS));
    }

    /** Drops a removal whose entry is back or that was carried out. */
    void cancel(String key) {
        deferred.remove(key);
    }

    /** Returns and drops the removals whose entries were not written again in time. */
    List<Item> takeDue(long nowNanos) {
        List<Item> due = new ArrayList<>();
        for (Iterator<Deferred> removals = deferred.values().iterator(); removals.hasNext(); ) {
            Deferred next = removals.next();
            if (nowNanos - next.dueNanos() >= 0) {
                removals.remove();
                due.add(next.removal());
            }
        }
        return due;
    }
}
