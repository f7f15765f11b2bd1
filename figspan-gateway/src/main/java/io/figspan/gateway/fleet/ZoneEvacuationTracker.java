package io.figspan.gateway.fleet;

import io.figspan.core.error.FigspanException;
import io.figspan.core.event.Part;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.FleetProtocol;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.store.ItemCopy;
import io.figspan.policy.evacuation.ZoneChange;
import io.figspan.policy.evacuation.ZoneEvacuations;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads the evacuated zones from the store's items, and logs and announces their changes. */
final class ZoneEvacuationTracker {
    /** Bounds the log lines about invalid keys. */
    private static final int MAX_UNREADABLE_KEYS = 16;

    private final FleetProtocol protocol;
    private final ZoneEvacuations evacuations;
    private final DecisionLog log;
    private final Runnable changeListener;
    private Set<String> unreadableKeys = Set.of();

    ZoneEvacuationTracker(
            FleetProtocol protocol, ZoneEvacuations evacuations, DecisionLog log, Runnable changeListener) {
        this.protocol = protocol;
        this.evacuations = evacuations;
        this.log = log;
        this.changeListener = changeListener;
    }

    /** Compares the evacuated zones with a copy of the store's items; only the keys of the items count. */
    void update(ItemCopy copy, long nowNanos) {
        Map<AvailabilityZoneId, StoreRevision> zones = new HashMap<>();
        Set<String> unreadable = new HashSet<>();
        for (Item item : copy.changesAfter(StoreRevision.NONE).items()) {
            try {
                protocol.evacuatedZone(item.key()).ifPresent(zone -> zones.put(zone, item.revision()));
            } catch (FigspanException e) {
                if (unreadable.size() < MAX_UNREADABLE_KEYS) {
                    unreadable.add(item.key());
                    logUnreadable(item, e);
                }
            }
        }
        unreadableKeys = unreadable;
        changed(evacuations.update(zones, copy.revision(), nowNanos));
    }

    /** No server can be in a zone with an invalid name, so the item has no effect. */
    private void logUnreadable(Item item, FigspanException reason) {
        if (!unreadableKeys.contains(item.key())) {
            log.warn(Part.MEMBER, "zoneUnreadable")
                    .text("key", item.key())
                    .text("revision", item.revision())
                    .text("reason", reason.detail())
                    .write();
        }
    }

    /** Ends the evacuations whose items were not written again in time. */
    void tick(long nowNanos) {
        changed(evacuations.takeDue(nowNanos));
    }

    private void changed(List<ZoneChange> changes) {
        changes.forEach(this::log);
        if (changes.stream().anyMatch(change -> change.kind().affectsPlacement())) {
            changeListener.run();
        }
    }

    private void log(ZoneChange change) {
        DecisionLog.Line line =
                switch (change.kind()) {
                    case EVACUATED -> log.info(Part.MEMBER, "zoneEvacuated");
                    case RESTORED -> log.info(Part.MEMBER, "zoneRestored");
                    case REMOVAL_DEFERRED -> log.info(Part.MEMBER, "zoneRestoreDeferred");
                    case REJECTED -> log.warn(Part.MEMBER, "zoneEvacuationRejected");
                };
        line.text("zone", change.zone()).text("revision", change.revision()).write();
    }
}
