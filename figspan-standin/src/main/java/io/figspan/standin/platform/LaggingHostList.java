package io.figspan.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's list of entry hosts and backend servers. Readers see each change only after a lag. Safe for use by
 * several threads.
 */
public final class LaggingHostList {
    /** Changes that are kept while they are not visible; the oldest becomes visible early when there are more. */
    private static final int MAX_PENDING = 4_096;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The two kinds of entries. */
    public enum Section {
        HOSTS("hosts"),
        BACKEND_SERVERS("backendServers");

        private final String wireName;

        Section(String wireName) {
            this.wireName = wireName;
        }

        /** Name of the array in the JSON form. */
        public String wireName() {
            return wireName;
        }
    }

    private record Change(long visibleAtNanos, Section section, String id, ObjectNode entry) {}

    private final Map<Section, Map<String, ObjectNode>> visible =
            Map.of(Section.HOSTS, new TreeMap<>(), Section.BACKEND_SERVERS, new TreeMap<>());
    private final Map<Section, Map<String, ObjectNode>> newest =
            Map.of(Section.HOSTS, new TreeMap<>(), Section.BACKEND_SERVERS, new TreeMap<>());
    private final Deque<Change> pending = new ArrayDeque<>();
    private long lagNanos;

    public LaggingHostList(long lagNanos) {
        this.lagNanos = lagNanos;
    }

    /** Lag of later changes. */
    public synchronized void setLagNanos(long newLagNanos) {
        lagNanos = newLagNanos;
    }

    /** Adds or replaces the entry with the same {@code id}. */
    public synchronized void upsert(Section section, ObjectNode entry, long nowNanos) {
        apply(section, entry.path("id").asText(), entry.deepCopy(), nowNanos);
    }

    /** Sets the state ({@code live} or {@code leaving}) of all entries with this id; tells whether there is one. */
    public synchronized boolean setState(String id, String state, long nowNanos) {
        boolean found = false;
        for (Section section : Section.values()) {
            ObjectNode entry = newest.get(section).get(id);
            if (entry != null) {
                apply(section, id, entry.deepCopy().put("state", state), nowNanos);
                found = true;
            }
        }
        return found;
    }

    /** Removes all entries with this id; tells whether there was one. */
    public synchronized boolean remove(String id, long nowNanos) {
        boolean found = false;
        for (Section section : Section.values()) {
            if (newest.get(section).containsKey(id)) {
                apply(section, id, null, nowNanos);
                found = true;
            }
        }
        return found;
    }

    /** The list as readers see it at {@code nowNanos}. */
    public synchronized ObjectNode read(long nowNanos) {
        while (!pending.isEmpty() && nowNanos - pending.peekFirst().visibleAtNanos() >= 0) {
            show(pending.removeFirst());
        }
        ObjectNode document = MAPPER.createObjectNode();
        for (Section section : Section.values()) {
            Iterable<? extends JsonNode> entries = visible.get(section).values();
            entries.forEach(document.withArray(section.wireName())::add);
        }
        return document.deepCopy();
    }

    private void apply(Section section, String id, ObjectNode entry, long nowNanos) {
        put(newest.get(section), id, entry);
        pending.addLast(new Change(nowNanos + lagNanos, section, id, entry));
        if (pending.size() > MAX_PENDING) {
            show(pending.removeFirst());
        }
    }

    private void show(Change change) {
        put(visible.get(change.section()), change.id(), change.entry());
    }

    private static void put(Map<String, ObjectNode> entries, String id, ObjectNode entry) {
        if (entry == null) {
            entries.remove(id);
        } else {
            entries.put(id, entry);
        }
    }
}
