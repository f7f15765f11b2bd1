package io.figspan.cluster.membership;

import io.figspan.cluster.message.MemberUpdate;
import io.figspan.core.id.BackendIncarnation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Gossip queue of updates to be piggybacked, as in SWIM. Each update is sent a limited number of times, the least often
 * sent first. The key is a host or a backend server; a newer update replaces a queued one with the same key.
 */
final class UpdateQueue<K, U> {
    /** The transmission limit is this times log10 of the member count, as in the SWIM paper. */
    private static final int TRANSMISSION_FACTOR = 4;

    private final int maxEntries;
    private final Map<K, Entry<U>> entries = new HashMap<>();
    private long nextSequence;

    private static final class Entry<U> {
        private final U update;
        private final long sequence;
        private int transmissions;

        Entry(U update, long sequence) {
            this.update = update;
            this.sequence = sequence;
        }
    }

    UpdateQueue(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    void put(K key, U update) {
        if (!entries.containsKey(key) && entries.size() >= maxEntries) {
            mostTransmitted().ifPresent(entries::remove);
        }
        entries.put(key, new Entry<>(update, nextSequence++));
    }

    void remove(K key) {
        entries.remove(key);
    }

    /** Takes the updates for one frame: at most {@code maxCount}, of at most {@code maxBytes} in total. */
    List<U> take(int maxCount, int maxBytes, int members, java.util.function.ToIntFunction<U> sizeBytes) {
        if (entries.isEmpty() || maxCount <= 0) {
            return List.of();
        }
        int transmissionLimit = TRANSMISSION_FACTOR * (int) Math.ceil(Math.log10(members + 1.0));
        List<Map.Entry<K, Entry<U>>> candidates = new ArrayList<>(entries.entrySet());
        candidates.sort(Comparator.<Map.Entry<K, Entry<U>>>comparingInt(entry -> entry.getValue().transmissions)
                .thenComparing(entry -> -entry.getValue().sequence));
        List<U> taken = new ArrayList<>();
        int bytes = 0;
        for (Map.Entry<K, Entry<U>> next : candidates) {
            Entry<U> entry = next.getValue();
            bytes += sizeBytes.applyAsInt(entry.update);
            if (taken.size() >= maxCount || bytes > maxBytes) {
                break;
            }
            taken.add(entry.update);
            entry.transmissions++;
            if (entry.transmissions >= transmissionLimit) {
                entries.remove(next.getKey());
            }
        }
        return taken;
    }

    private java.util.Optional<K> mostTransmitted() {
        return entries.entrySet().stream()
                .max(Comparator.<Map.Entry<K, Entry<U>>>comparingInt(entry -> entry.getValue().transmissions)
                        .thenComparing(entry -> -entry.getValue().sequence))
                .map(Map.Entry::getKey);
    }

    /** Estimated encoded size of a member update, in bytes. */
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

    /** Estimated encoded size of a leaving notice, in bytes. */
    static int sizeBytes(BackendIncarnation backend) {
        return 11 + backend.server().value().length();
    }
}
