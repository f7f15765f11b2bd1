package io.figspan.gateway.store;

import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import java.util.ArrayList;
import java.util.Arrays;
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
    private StoreRevision revision = StoreRevision.NONE;
    private long changeCount;

    /** All removals with a higher revision have a tombstone. */
    private StoreRevision tombstonesCompleteAfter = StoreRevision.NONE;

    /** All changes up to this revision have been applied, and perhaps some later ones. */
    public StoreRevision revision() {
        return revision;
    }

    /** Increases with each change of an item. */
    public long changeCount() {
        return changeCount;
    }

    /**
     * Applies changes that follow this copy without a gap. Returns those that are newer, oldest first. Changes of an
     * earlier epoch than that of this copy are ignored.
     */
    public List<Item> apply(List<Item> changes) {
        List<Item> current = changes.stream()
                .filter(change -> change.revision().epoch() >= revision.epoch())
                .toList();
        raiseRevision(current);
        return merge(current);
    }

    private void raiseRevision(List<Item> changes) {
        changes.forEach(change -> revision = StoreRevision.newest(revision, change.revision()));
    }

    /** Applies the changes that are newer than the known items, whatever their revisions. Returns these. */
    private List<Item> merge(List<Item> changes) {
        List<Item> newer = new ArrayList<>();
        for (Item change : changes) {
            boolean isNewer = isNewer(change);
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

    private boolean isNewer(Item change) {
        Item known = items.get(change.key());
        if (known != null) {
            return change.revision().isNewerThan(known.revision());
        }
        Item tombstone = tombstones.get(change.key());
        boolean isOutdated = tombstone != null && !change.revision().isNewerThan(tombstone.revision());
        return change.value().isPresent() && !isOutdated;
    }

    private void addTombstone(Item removal) {
        tombstones.remove(removal.key());
        tombstones.put(removal.key(), removal);
        if (tombstones.size() > MAX_TOMBSTONES) {
            Iterator<Item> oldest = tombstones.values().iterator();
            tombstonesCompleteAfter =
                    StoreRevision.newest(tombstonesCompleteAfter, oldest.next().revision());
            oldest.remove();
        }
    }

    /**
     * Applies a snapshot of all items as of a revision; items that are missing from it were removed. Returns the
     * changes; none if the snapshot is older than this copy. A snapshot of a later epoch replaces this copy, whatever
     * its revisions; items whose values are the same are not among the changes.
     */
    public List<Item> applySnapshot(List<Item> snapshot, StoreRevision asOf) {
        if (revision.isNewerThan(asOf)) {
            return List.of();
        }
        if (asOf.epoch() > revision.epoch()) {
            tombstones.clear();
            revision = new StoreRevision(asOf.epoch(), 0);
        }
        tombstonesCompleteAfter = asOf;
        Set<String> keys = new HashSet<>();
        snapshot.forEach(item -> keys.add(item.key()));
        List<Item> changes = new ArrayList<>();
        for (String key : items.keySet()) {
            if (!keys.contains(key)) {
                changes.add(new Item(key, Optional.empty(), asOf));
            }
        }
        changes.addAll(snapshot);
        // Items that were written after the first page don't mean that everything before them is known.
        raiseRevision(changes.stream()
                .filter(change -> !change.revision().isNewerThan(asOf))
                .toList());
        Map<String, Item> before = Map.copyOf(items);
        return merge(changes).stream()
                .filter(change -> !hasValueOf(change, before.get(change.key())))
                .toList();
    }

    private static boolean hasValueOf(Item change, Item known) {
        return known != null
                && change.value().isPresent()
                && Arrays.equals(change.value().get(), known.value().orElseThrow());
    }

    /** Applies the items of another host where they are newer. Returns the changes. */
    public List<Item> applyChanges(ItemChanges other) {
        if (revision.isNewerThan(other.revision()) || other.baseRevision().isNewerThan(revision)) {
            return List.of();
        }
        if (!other.isSnapshot() && other.revision().epoch() != revision.epoch()) {
            return List.of();
        }
        List<Item> changes = other.isSnapshot() ? applySnapshot(other.items(), other.revision()) : merge(other.items());
        revision = other.revision();
        return changes;
    }

    /**
     * Returns the changes after a revision, or all items if not all of these changes are known.
     *
     * @param after revision of the host that asks; {@link StoreRevision#NONE} asks for all items
     */
    public ItemChanges changesAfter(StoreRevision after) {
        boolean knowsAllChanges =
                after.epoch() == revision.epoch() && after.number() > 0 && !tombstonesCompleteAfter.isNewerThan(after);
        if (!knowsAllChanges) {
            return new ItemChanges(revision, StoreRevision.NONE, List.copyOf(items.values()));
        }
        List<Item> changes = Stream.of(tombstones, items)
                .flatMap(known -> known.values().stream())
                .filter(item -> item.revision().isNewerThan(after))
                .toList();
        return new ItemChanges(revision, after, changes);
    }
}
