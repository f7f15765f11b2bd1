package io.figspan.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Compares two trees table by table. A change is reported only for the table that sets the key, not where it is
 * inherited.
 */
public final class SettingsDiff {
    private SettingsDiff() {}

    /**
     * A key whose value in one table differs between the trees.
     *
     * @param table path of the table, such as {@code organisation.acme.service.kits}
     * @param before value in the old tree; empty if the table does not set the key
     * @param after value in the new tree; empty if the table does not set the key
     */
    public record Change(String table, SettingKey key, Optional<Object> before, Optional<Object> after) {}

    /** Changes from the old to the new tree, ordered by table and key. */
    public static List<Change> between(SettingsTree before, SettingsTree after) {
        List<Change> changes = new ArrayList<>();
        compare("fleet", before.root(), after.root(), changes);
        compareChildren("organisation", before.root(), after.root(), changes);
        return changes;
    }

    private static void compare(String table, SettingsNode before, SettingsNode after, List<Change> changes) {
        for (SettingKey key : SettingKey.values()) {
            Object old = before.get(key);
            Object current = after.get(key);
            if (!Objects.equals(old, current)) {
                changes.add(new Change(table, key, Optional.ofNullable(old), Optional.ofNullable(current)));
            }
        }
    }

    private static void compareChildren(
            String container, SettingsNode before, SettingsNode after, List<Change> changes) {
        SortedSet<String> names = new TreeSet<>(before.children().keySet());
        names.addAll(after.children().keySet());
        for (String name : names) {
            String table = container + "." + name;
            SettingsNode old = before.child(name);
            SettingsNode current = after.child(name);
            compare(table, old, current, changes);
            compareChildren(table + (isOrganisation(container) ? ".service" : ".place"), old, current, changes);
        }
    }

    private static boolean isOrganisation(String container) {
        return container.equals("organisation");
    }
}
