package io.figspan.gateway.fleet;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Entries that are back because the store has returned from an older copy, although their servers were removed before.
 * Most of these have ended. An entry is believed once it is written again, or if it is still there when the entry
 * of a server that no longer runs would have expired.
 */
final class RestoredEntries {
    /** Entries expire after three heartbeat intervals of little more than a second. */
    static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    /** Bounds the removed servers that are remembered: six times the backend servers of the design scale. */
    static final int MAX_REMOVED = 4_096;

    private final Map<BackendServerId, Long> removedIncarnations = new LinkedHashMap<>();
    private final Map<String, Postponed> postponed = new LinkedHashMap<>();

    private record Postponed(Item entry, long dueNanos) {}

    /** A server was removed. */
    void removed(BackendIncarnation server) {
        removedIncarnations.remove(server.server());
        removedIncarnations.put(server.server(), server.number());
        if (removedIncarnations.size() > MAX_REMOVED) {
            removedIncarnations.remove(removedIncarnations.keySet().iterator().next());
        }
    }

    /** Whether this process of a server, or a later one, was removed before. */
    boolean wasRemoved(BackendIncarnation server) {
        Long removed = removedIncarnations.get(server.server());
        return removed != null && removed >= server.number();
    }

    /** Keeps an entry until it is due. */
    void postpone(Item entry, long nowNanos) {
        postponed.putIfAbsent(entry.key(), new Postponed(entry, nowNanos + EXPIRY_NANOS));
    }

    /** Drops an entry that was written again or removed. */
    void cancel(String key) {
        postponed.remove(key);
    }

    /** Returns and drops the entries that are still there after the time in which they would have expired. */
    List<Item> takeDue(long nowNanos) {
        List<Item> due = new ArrayList<>();
        for (Iterator<Postponed> entries = postponed.values().iterator(); entries.hasNext(); ) {
            Postponed next = entries.next();
            if (nowNanos - next.dueNanos() >= 0) {
                entries.remove();
                due.add(next.entry());
            }
        }
        return due;
    }
}
