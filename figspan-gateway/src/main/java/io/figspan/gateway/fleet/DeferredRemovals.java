package io.figspan.gateway.fleet;

import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Removals that were heard while the store was out of reach, or in its first answer after that. The leases of live
 * servers may have run out meanwhile; such servers register again soon after the store is back. So a removal counts
 * only when the entry is still missing a while later.
 */
final class DeferredRemovals {
    /** Live servers are registered again within about two seconds of the store's return. */
    static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

    private final Map<String, Held> held = new LinkedHashMap<>();

    private record Held(Item removal, long dueNanos) {}

    void hold(Item removal, long nowNanos) {
        held.putIfAbsent(removal.key(), new Held(removal, nowNanos + HOLD_NANOS));
    }

    /** The entry is back, or its removal was carried out. */
    void cancel(String key) {
        held.remove(key);
    }

    /** Takes the removals whose entries did not come back in time. */
    List<Item> takeDue(long nowNanos) {
        List<Item> due = new ArrayList<>();
        for (Iterator<Held> removals = held.values().iterator(); removals.hasNext(); ) {
            Held next = removals.next();
            if (nowNanos - next.dueNanos() >= 0) {
                removals.remove();
                due.add(next.removal());
            }
        }
        return due;
    }
}
