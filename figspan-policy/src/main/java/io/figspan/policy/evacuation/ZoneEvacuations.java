package io.figspan.policy.evacuation;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.StoreRevision;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The availability zones that the operator has evacuated. Compares the items of the store with the known evacuations
 * and returns what has changed. It does no I/O and is not thread-safe.
 */
public final class ZoneEvacuations {
    /** Bounds the set; sixteen times the 64 zones that an operator is expected to evacuate at most. */
    static final int MAX_ZONES = 1_024;

    /**
     * A store that returns from an older copy may lack an item that was written after that copy. The operator has this
     * long to write it again.
     */
    static final long REMOVAL_DELAY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<AvailabilityZoneId, Evacuation> zones = new TreeMap<>();
    private final Set<AvailabilityZoneId> rejected = new HashSet<>();
    private StoreRevision latestRevision = StoreRevision.NONE;

    /** An evacuation in force; its removal is due while the item is missing from an older copy of the store. */
    private record Evacuation(StoreRevision revision, OptionalLong removalDueNanos) {
        static Evacuation of(StoreRevision revision) {
            return new Evacuation(revision, OptionalLong.empty());
        }

        boolean isRemovalDue(long nowNanos) {
            return removalDueNanos.isPresent() && nowNanos - removalDueNanos.getAsLong() >= 0;
        }
    }

    /** Whether the servers of a zone must get no new requests. */
    public boolean isEvacuated(AvailabilityZoneId zone) {
        return !zones.isEmpty() && zones.containsKey(zone);
    }

    public boolean isEmpty() {
        return zones.isEmpty();
    }

    /** Number of evacuated zones. */
    public int size() {
        return zones.size();
    }

    /**
     * Compares with all items of the store.
     *
     * @param items the zones for which there is an item, with its revision
     * @param asOf revision of the items
     */
    public List<ZoneChange> update(Map<AvailabilityZoneId, StoreRevision> items, StoreRevision asOf, long nowNanos) {
        latestRevision = asOf;
        List<ZoneChange> changes = new ArrayList<>();
        for (AvailabilityZoneId zone : List.copyOf(zones.keySet())) {
            if (!items.containsKey(zone)) {
                missing(zone, nowNanos, changes);
            }
        }
        new TreeMap<>(items).forEach((zone, revision) -> present(zone, revision, changes));
        rejected.retainAll(items.keySet());
        return changes;
    }

    /** Within an epoch a missing item was removed. In a later epoch it may only be missing from the copy. */
    private void missing(AvailabilityZoneId zone, long nowNanos, List<ZoneChange> changes) {
        Evacuation evacuation = zones.get(zone);
        if (evacuation.removalDueNanos().isPresent()) {
            return;
        }
        if (latestRevision.epoch() > evacuation.revision().epoch()) {
            OptionalLong dueNanos = OptionalLong.of(nowNanos + REMOVAL_DELAY_NANOS);
            zones.put(zone, new Evacuation(evacuation.revision(), dueNanos));
            changes.add(new ZoneChange(ZoneChange.Kind.REMOVAL_DEFERRED, zone, latestRevision));
            return;
        }
        zones.remove(zone);
        changes.add(new ZoneChange(ZoneChange.Kind.RESTORED, zone, latestRevision));
    }

    private void present(AvailabilityZoneId zone, StoreRevision revision, List<ZoneChange> changes) {
        boolean isKnown = zones.containsKey(zone);
        if (isKnown || zones.size() < MAX_ZONES) {
            zones.put(zone, Evacuation.of(revision));
            rejected.remove(zone);
            if (!isKnown) {
                changes.add(new ZoneChange(ZoneChange.Kind.EVACUATED, zone, revision));
            }
        } else if (rejected.size() < MAX_ZONES && rejected.add(zone)) {
            changes.add(new ZoneChange(ZoneChange.Kind.REJECTED, zone, revision));
        }
    }

    /** Ends the evacuations whose items are still missing after the delay. */
    public List<ZoneChange> takeDue(long nowNanos) {
        if (zones.isEmpty()) {
            return List.of();
        }
        List<ZoneChange> changes = new ArrayList<>();
        zones.forEach((zone, evacuation) -> {
            if (evacuation.isRemovalDue(nowNanos)) {
                changes.add(new ZoneChange(ZoneChange.Kind.RESTORED, zone, latestRevision));
            }
        });
        changes.forEach(change -> zones.remove(change.zone()));
        return changes;
    }
}
