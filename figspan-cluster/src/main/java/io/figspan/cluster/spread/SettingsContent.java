package io.figspan.cluster.spread;

import io.figspan.cluster.message.Bytes;
import io.figspan.core.id.SettingsVersion;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** A complete settings version: the bytes of each part by its name. */
public record SettingsContent(SettingsVersion version, SortedMap<String, Bytes> parts) {
    public static final SettingsContent NONE = new SettingsContent(SettingsVersion.NONE, new TreeMap<>());

    public SettingsContent {
        parts = Collections.unmodifiableSortedMap(new TreeMap<>(parts));
    }

    public static SettingsContent of(SettingsVersion version, Map<String, Bytes> parts) {
        return new SettingsContent(version, new TreeMap<>(parts));
    }
}
