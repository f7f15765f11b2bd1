package io.figspan.cluster.membership;

import io.figspan.cluster.message.MemberUpdate;
import io.figspan.core.id.BackendIncarnation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Statements that wait to be piggybacked, each sent a bounded number of times, least often sent first. The key is a
 * member's seat or a backend server; a newer statement replaces an older one about the same.
 */
final class UpdateQueue<K, S> {
    /** Multiple of the logarithm of the member count, as in the SWIM paper. */
    private static final int TRANSMISSION_FACTOR = 4;

    private final int maxEntries;
    private final Map<K, Entry<S>> entries = new HashMap<>();
    private long nextOrder;

    private static final class Entry<S> {
        private final S statement;
        private final long order;
        private int transmissions;

        Entry(S statement, long order) {
            this.statement = statement;
            this.order = order;
        }
    }

    UpdateQueue(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    void put(K key, S statement) {
        if (!entries.containsKey(key) && entries.size() >= maxEntries) {
            mostSent().ifPresent(entries::remove);
        }
        entries.put(key, new Entry<>(statement, nextOrder++));
    }

    void remove(K key) {
        entries.remove(key);
    }

    /** Takes up to {@code maxCount} statements of at most {@code maxBytes} together for one frame. */
    List<S> take(int maxCount, int maxBytes, int members, java.util.function.ToIntFunction<S> sizeBytes) {
        if (entries.isEmpty() || maxCount <= 0) {
            return List.of();
        }
        int limit = TRANSMISSION_FACTOR * (int) Math.ceil(Math.log10(members + 1.0));
        List<Map.Entry<K, Entry<S>>> order = new ArrayList<>(entries.entrySet());
        order.sort(Comparator.<Map.Entry<K, Entry<S>>>comparingInt(entry -> entry.getValue().transmissions)
                .thenComparing(entry -> -entry.getValue().order));
        List<S> taken = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<K, Entry<S>> next : order) {
            Entry<S> entry = next.getValue();
            bytes += sizeBytes.applyAsInt(entry.statement);
            if (taken.size() >= maxCount || bytes > maxBytes) {
                break;
            }
            taken.add(entry.statement);
            entry.transmissions++;
            if (entry.transmissions >= limit) {
                entries.remove(next.getKey());
            }
        }
        return taken;
    }

    private java.util.Optional<K> mostSent() {
        return entries.entrySet().stream()
                .max(Comparator.<Map.Entry<K, Entry<S>>>comparingInt(entry -> entry.getValue().transmissions)
                        .thenComparing(entry -> -entry.getValue().order))
                .map(Map.Entry::getKey);
    }

    /** Estimated size on the wire of a statement about a member. */
    static int sizeBytes(MemberUpdate update) {
        int base = 14 + update.incarnation().host().value().length();
        if (update instanceof MemberUpdate.Alive alive) {
            return base
                    + 5
                    + alive.peer().zone().value().length()
                    + alive.peer().address().address().length();
        }
        if (update instanceof MemberUpdate.Suspect suspect) {
            return base + 1 + suspect.by().value().length();
        }
        return base;
    }

    /** Estimated size on the wire of a leaving notice. */
    static int sizeBytes(BackendIncarnation backend) {
        return 11 + backend.server().value().length();
    }
}
