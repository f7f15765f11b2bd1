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

/**
 * This host's copy of the items under one prefix. Other hosts read its {@link ItemChanges} instead of calling the
 * store.
 */
public final class ItemCopy {
    /** Most tombstones that are kept for hosts that ask for the changes only. */
    private static final int MAX_TOMBSTONES = 1_024;

    private final Map<String, Item> items = new TreeMap<>();
    private final Map<String, Item> tombstones = new LinkedHashMap<>();
    private long revision;
    private long changeCount;

    /** All removals with a higher revision have a tombstone. */
    private long tombstonesCompleteAfter;

    /** All changes up to this revision have been applied, and perhaps some later ones; 0 before the first. */
    public long revision() {
        return revision;
    }

    /** Increases with each change of an item. */
    public long changeCount() {
        return changeCount;
    }

    /** Applies changes that follow this copy without a gap. Returns those that are newer, oldest first. */
    public List<Item> apply(List<Item> changes) {
        raiseRevision(changes);
        return merge(changes);
    }

    private void raiseRevision(List<Item> changes) {
        changes.forEach(change -> revision = Math.max(revision, change.revision()));
    }

    /** Applies the changes that are newer than the known items, whatever their revisions. Returns these. */
    private List<Item> merge(List<Item> changes) {
        List<Item> newer = new ArrayList<>();
        for (Item change : changes) {
            Item known = items.get(change.key());
            boolean isNewer = known == null ? change.value().isPresent() : change.revision() > known.revision();
            if (change.value().isEmpty()) {
                addTombstone(change);
            }
            if (!isNewer) {
                continue;
            }
            newer.add(change);
            changeCount++;
            if (change.value().isPresent()) {
                items.put(change.key(), change);
                tombstones.remove(change.key());
            } else {
                items.remove(change.key());
            }
        }
        return newer;
    }

    private void addTombstone(Item removal) {
        tombstones.remove(removal.key());
        tombstones.put(removal.key(), removal);
        if (tombstones.size() > MAX_TOMBSTONES) {
            Iterator<Item> oldest = tombstones.values().iterator();
            tombstonesCompleteAfter =
                    Math.max(tombstonesCompleteAfter, oldest.next().revision());
            oldest.remove();
        }
    }

    /**
     * Applies a snapshot of all items as of a revision; items that are missing from it were removed. Returns the
     * changes; none if the snapshot is older than this copy.
     */
    public List<Item> applySnapshot(List<Item> snapshot, long asOfRevision) {
        if (asOfRevision < revision) {
            return List.of();
        }
        tombstonesCompleteAfter = asOfRevision;
        Set<String> keys = new HashSet<>();
        snapshot.forEach(item -> keys.add(item.key()));
        List<Item> changes = new ArrayList<>();
        for (String key : items.keySet()) {
            if (!keys.contains(key)) {
                changes.add(new Item(key, Optional.empty(), asOfRevision));
            }
        }
        changes.addAll(snapshot);
        // Items that were written after the first page don't mean that everything before them is known.
        raiseRevision(changes.stream()
                .filter(change -> change.revision() <= asOfRevision)
                .toList());
        return merge(changes);
    }

    /** Applies the items of another host where they are newer. Returns the changes. */
    public List<Item> applyChanges(ItemChanges other) {
        if (other.revision() < revision || other.baseRevision() > revision) {
            return List.of();
        }
        List<Item> changes = other.isSnapshot() ? applySnapshot(other.items(), other.revision()) : merge(other.items());
        revision = other.revision();
        return changes;
    }

    /**
     * Returns the changes after a revision, or all items if not all of these changes are known.
     *
     * @param afterRevision revision of the host that asks; 0 asks for all items
     */
    public ItemChanges changesAfter(long afterRevision) {
        if (afterRevision <= 0 || afterRevision < tombstonesCompleteAfter) {
            return new ItemChanges(revision, 0, List.copyOf(items.values()));
        }
        List<Item> changes = Stream.of(tombstones, items)
                .flatMap(known -> known.values().stream())
                .filter(item -> item.revision() > afterRevision)
                .toList();
        return new ItemChanges(revision, afterRevision, changes);
    }
}
