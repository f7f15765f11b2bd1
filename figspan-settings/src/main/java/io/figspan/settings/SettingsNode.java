package io.figspan.settings;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** One table of the tree: the keys it sets itself and the tables below it by name. */
final class SettingsNode {
    static final SettingsNode EMPTY = new SettingsNode();

    private final Map<SettingKey, Object> values = new EnumMap<>(SettingKey.class);
    private final Map<String, SettingsNode> children = new TreeMap<>();

    /** Used by the reader while it builds a tree; a node does not change after that. */
    void put(SettingKey key, Object value) {
        values.put(key, value);
    }

    SettingsNode getOrCreateChild(String name) {
        return children.computeIfAbsent(name, unused -> new SettingsNode());
    }

    void putChild(String name, SettingsNode child) {
        children.put(name, child);
    }

    /** A node that can be changed without changing this one; the children are shared. */
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
