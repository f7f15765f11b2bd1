package io.figspan.settings;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** A node of the settings tree: the keys that its table sets and its child nodes by name. */
final class SettingsNode {
    static final SettingsNode EMPTY = new SettingsNode();

    private final Map<SettingKey, Object> values = new EnumMap<>(SettingKey.class);
    private final Map<String, SettingsNode> children = new TreeMap<>();

    /** Sets a key. Called only while the tree is built; nodes are not modified afterwards. */
    void put(SettingKey key, Object value) {
        values.put(key, value);
    }

    SettingsNode getOrCreateChild(String name) {
        return children.computeIfAbsent(name, unused -> new SettingsNode());
    }

    void putChild(String name, SettingsNode child) {
        children.put(name, child);
    }

    /** A shallow copy: it can be modified independently of this node but shares the child nodes. */
    SettingsNode copy() {
        SettingsNode copy = new SettingsNode();
        copy.values.putAll(values);
        copy.children.putAll(children);
        return copy;
    }

    Map<SettingKey, Object> values() {
        return Collections.unmodifiableMap(values);
    }

    Map<String, SettingsNode> children() {
        return Collections.unmodifiableMap(children);
    }

    SettingsNode child(String name) {
        return children.getOrDefault(name, EMPTY);
    }

    Object get(SettingKey key) {
        return values.get(key);
    }
}
