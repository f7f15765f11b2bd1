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
 * Values of the stand-in configuration service. Each write gives the written keys the next index. The mode decides
 * what readers see. Safe for use by several threads.
 */
public final class ConfigurationStore {
    /** Largest value, in bytes. */
    public static final int MAX_VALUE_BYTES = 1_000_000;

    /** Older states that {@link Mode#BACK} can return to. */
    private static final int MAX_HISTORY = 64;

    private static final String MANIFEST_KEY = "settings/manifest";
    private static final String PART_KEY_PREFIX = "settings/parts/";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** What readers of the service see. */
    public enum Mode {
        /** The newest values. */
        UP,
        /** An error for each call. */
        DOWN,
        /** The values of the moment when this mode was set. */
        STALE,
        /** The values of an earlier write, as after a restore from a backup. */
        BACK
    }

    /** A value with the index of its last write. */
    public record Value(String text, long index) {}

    /**
     * Numbers of calls since the start.
     *
     * @param gets plain reads
     * @param watches watches, one each however long they were pending
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

    /** Writes one key as it is, also when it does not fit the other keys. */
    public synchronized long put(String key, String text) {
        return putAll(Map.of(key, text));
    }

    /** Publishes the parts and a manifest with their digests in one write; returns the index. */
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

    /** What a reader sees for a key, without counting a call. */
    public synchronized Optional<Value> read(String key) {
        return Optional.ofNullable(visible.get(key));
    }

    /** Tells whether a watch of {@code key} that has seen {@code index} is to be answered now. */
    public synchronized boolean differs(String key, long index) {
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
