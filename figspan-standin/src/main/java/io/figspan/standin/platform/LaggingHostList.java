package io.figspan.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's list of entry hosts and backend servers. It is eventually consistent: readers see each
 * change only after a lag. Thread-safe.
 */
public final class LaggingHostList {
    /** Limit of changes that are not visible yet; beyond it, the oldest one becomes visible early. */
    private static final int MAX_PENDING = 4_096;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Kind of an entry. */
    public enum Section {
        HOSTS("hosts"),
        BACKEND_SERVERS("backendServers");

        private final String wireName;

        Section(String wireName) {
            this.wireName = wireName;
        }

        /** Name of the array in the JSON document. */
        public String wireName() {
            return wireName;
        }
    }

    private record Change(long visibleAtNanos, Section section, String id, ObjectNode entry) {}

    private final Map<Section, Map<String, ObjectNode>> visible =
            Map.of(Section.HOSTS, new TreeMap<>(), Section.BACKEND_SERVERS, new TreeMap<>());
    private final Map<Section, Map<String, ObjectNode>> latest =
            Map.of(Section.HOSTS, new TreeMap<>(), Section.BACKEND_SERVERS, new TreeMap<>());
    private final Deque<Change> pending = new ArrayDeque<>();
    private long lagNanos;

    public LaggingHostList(long lagNanos) {
        this.lagNanos = lagNanos;
    }

    /** Sets the lag of later changes; pending ones keep theirs. */
    public synchronized void setLagNanos(long newLagNanos) {
        lagNanos = newLagNanos;
    }

    /** Adds the entry, or replaces the one with the same {@code id}. */
    public synchronized void upsert(Section section, ObjectNode entry, long nowNanos) {
        enqueueChange(section, entry.path("id").asText(), entry.deepCopy(), nowNanos);
    }

    /** Sets the state ({@code live} or {@code leaving}) of all entries with this id; returns whether there is one. */
    public synchronized boolean setState(String id, String state, long nowNanos) {
        boolean found = false;
        for (Section section : Section.values()) {
            ObjectNode entry = latest.get(section).get(id);
            if (entry != null) {
                enqueueChange(section, id, entry.deepCopy().put("state", state), nowNanos);
                found = true;
            }
        }
        return found;
    }

    /** Removes all entries with this id; returns whether there was one. */
    public synchronized boolean remove(String id, long nowNanos) {
        boolean found = false;
        for (Section section : Section.values()) {
            if (latest.get(section).containsKey(id)) {
                enqueueChange(section, id, null, nowNanos);
                found = true;
            }
        }
        return found;
    }

    /** Returns the list as readers see it at {@code nowNanos}; makes due changes visible. */
    public synchronized ObjectNode read(long nowNanos) {
        while (!pending.isEmpty() && nowNanos - pending.peekFirst().visibleAtNanos() >= 0) {
            makeVisible(pending.removeFirst());
        }
        ObjectNode document = MAPPER.createObjectNode();
        for (Section section : Section.values()) {
            Iterable<? extends JsonNode> entries = visible.get(section).values();
            entries.forEach(document.withArray(section.wireName())::add);
        }
        return document.deepCopy();
    }

    private void enqueueChange(Section section, String id, ObjectNode entry, long nowNanos) {
        putOrRemove(latest.get(section), id, entry);
        pending.addLast(new Change(nowNanos + lagNanos, section, id, entry));
        if (pending.size() > MAX_PENDING) {
            makeVisible(pending.removeFirst());
        }
    }

    private void makeVisible(Change change) {
        putOrRemove(visible.get(change.section()), change.id(), change.entry());
    }

    private static void putOrRemove(Map<String, ObjectNode> entries, String id, ObjectNode entry) {
        if (entry == null) {
            entries.remove(id);
        } else {
            entries.put(id, entry);
        }
    }
}
