package io.figspan.standin.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Versioned key-value store of the stand-in configuration service. Each write increments the index and assigns it to
 * the keys written. The {@link Mode} decides which values readers see. Thread-safe.
 */
public final class ConfigurationStore {
    /** Maximum size of a value, in bytes. */
    public static final int MAX_VALUE_BYTES = 1_000_000;

    /** Number of earlier states kept for {@link Mode#BACK}. */
    private static final int MAX_HISTORY = 64;

    private static final String MANIFEST_KEY = "settings/manifest";
    private static final String PART_KEY_PREFIX = "settings/parts/";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Which values readers of the service see. */
    public enum Mode {
        /** The latest values. */
        UP,
        /** An error for each call. */
        DOWN,
        /** The values that were visible when this mode was set; later writes are not shown. */
        STALE,
        /** The values of an earlier write, as after a restore from a backup. */
        BACK
    }

    /** A value and the index of its last write. */
    public record Value(String text, long index) {}

    /**
     * Call counters since the start.
     *
     * @param gets plain reads
     * @param watches watch calls; each counts once, however long it was pending
     */
    public record Counts(long gets, long watches, Map<String, Long> callsByKey) {}

    private final Deque<Map<String, Value>> history = new ArrayDeque<>();
    private Map<String, Value> values = Map.of();
    private Map<String, Value> visible = Map.of();
    private Mode mode = Mode.UP;
    private long lastIndex;
    private long gets;
    private long watches;
    private final Map<String, Long> callsByKey = new TreeMap<>();

    /** Writes one key without checking that it is consistent with the other keys; returns the index of the write. */
    public synchronized long put(String key, String text) {
        return putAll(Map.of(key, text));
    }

    /** Writes the parts and a manifest with their digests in one write; returns the index of the write. */
    public synchronized long publish(long version, Map<String, String> parts) {
        ObjectNode manifest = MAPPER.createObjectNode();
        manifest.put("version", version);
        ArrayNode digests = manifest.putArray("parts");
        Map<String, String> written = new TreeMap<>();
        new TreeMap<>(parts).forEach((name, text) -> {
            String digest =
                    Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
            digests.addObject().put("name", name).put("sha256", digest);
            written.put(PART_KEY_PREFIX + name, text);
        });
        written.put(MANIFEST_KEY, manifest.toString());
        return putAll(written);
    }

    private long putAll(Map<String, String> written) {
        if (history.size() >= MAX_HISTORY) {
            history.removeLast();
        }
        history.addFirst(values);
        lastIndex++;
        Map<String, Value> next = new HashMap<>(values);
        written.forEach((key, text) -> next.put(key, new Value(text, lastIndex)));
        values = Map.copyOf(next);
        if (mode == Mode.UP) {
            visible = values;
        }
        return lastIndex;
    }

    /** Sets the mode; {@code writesBack} is how many writes {@link Mode#BACK} goes back, as far as they are kept. */
    public synchronized void setMode(Mode newMode, int writesBack) {
        mode = newMode;
        switch (newMode) {
            case UP -> visible = values;
            case BACK ->
                visible = history.stream()
                        .skip(Math.max(0, writesBack - 1L))
                        .findFirst()
                        .orElse(values);
            default -> {}
        }
    }

    public synchronized Mode mode() {
        return mode;
    }

    /** Returns the value of a key that readers see. Does not count as a call. */
    public synchronized Optional<Value> read(String key) {
        return Optional.ofNullable(visible.get(key));
    }

    /** Returns whether the visible index of {@code key} differs from {@code index}, which ends a watch. */
    public synchronized boolean indexDiffers(String key, long index) {
        return read(key).map(Value::index).orElse(0L) != index;
    }

    synchronized void countCall(String key, boolean watch) {
        if (watch) {
            watches++;
        } else {
            gets++;
        }
        callsByKey.merge(key, 1L, Long::sum);
    }

    public synchronized Counts counts() {
        return new Counts(gets, watches, Map.copyOf(callsByKey));
    }
}
