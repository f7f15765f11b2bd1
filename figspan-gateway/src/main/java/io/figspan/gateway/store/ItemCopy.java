package io.figspan.gateway.store;

import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/** This host's copy of the items under one prefix. Other hosts read its {@link ItemChanges} instead of the store. */
public final class ItemCopy {
    /** Removals that are remembered for hosts that ask for the changes only. */
    private static final int MAX_REMOVALS = 1_024;

    private final Map<String, Item> items = new TreeMap<>();
    private final Map<String, Item> removals = new LinkedHashMap<>();
    private long revision;

    /** All removals behind this revision are remembered. */
    private long removalsKnownSince;

    /** The newest revision among the changes that were applied; 0 before the first. */
    public long revision() {
        return revision;
    }

    /** Takes changes. Returns those that are news, oldest first. */
    public List<Item> apply(List<Item> changes) {
        List<Item> news = new ArrayList<>();
        for (Item change : changes) {
            Item known = items.get(change.key());
            boolean isNews = known == null ? change.value().isPresent() : change.revision() > known.revision();
            revision = Math.max(revision, change.revision());
            if (change.value().isEmpty()) {
                remember(change);
            }
            if (!isNews) {
                continue;
            }
            news.add(change);
            if (change.value().isPresent()) {
                items.put(change.key(), change);
                removals.remove(change.key());
            } else {
                items.remove(change.key());
            }
        }
        return news;
    }

    private void remember(Item removal) {
        removals.remove(removal.key());
        removals.put(removal.key(), removal);
        if (removals.size() > MAX_REMOVALS) {
            Iterator<Item> oldest = removals.values().iterator();
            removalsKnownSince = Math.max(removalsKnownSince, oldest.next().revision());
            oldest.remove();
        }
    }

    /** Takes all items as of a revision; those that are missing were removed. Returns the changes. */
    public List<Item> applySnapshot(List<Item> whole, long asOfRevision) {
        if (asOfRevision < revision) {
            return List.of();
        }
        removalsKnownSince = asOfRevision;
        Set<String> keys = new HashSet<>();
        whole.forEach(item -> keys.add(item.key()));
        List<Item> changes = new ArrayList<>();
        for (String key : items.keySet()) {
            if (!keys.contains(key)) {
                changes.add(new Item(key, Optional.empty(), asOfRevision));
            }
        }
        changes.addAll(whole);
        return apply(changes);
    }

    /** Takes what another host has, where it is newer. Returns the changes. */
    public List<Item> applyChanges(ItemChanges other) {
        if (other.revision() < revision || other.baseRevision() > revision) {
            return List.of();
        }
        List<Item> changes = other.isWhole() ? applySnapshot(other.items(), other.revision()) : apply(other.items());
        revision = Math.max(revision, other.revision());
        return changes;
    }

    /**
     * The changes behind a revision, or all items when not all of these changes are known.
     *
     * @param afterRevision what another host has; 0 asks for all items
     */
    public ItemChanges changesAfter(long afterRevision) {
        if (afterRevision <= 0 || afterRevision < removalsKnownSince) {
            return new ItemChanges(revision, 0, List.copyOf(items.values()));
        }
        List<Item> changes = Stream.of(removals, items)
                .flatMap(known -> known.values().stream())
                .filter(item -> item.revision() > afterRevision)
                .toList();
        return new ItemChanges(revision, afterRevision, changes);
    }
}
