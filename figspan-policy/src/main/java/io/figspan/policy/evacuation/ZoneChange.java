package io.figspan.policy.evacuation;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.StoreRevision;

/**
 * A change of one zone in {@link ZoneEvacuations}.
 *
 * @param revision that of the item if there is one, otherwise that at which it was missing
 */
public record ZoneChange(Kind kind, AvailabilityZoneId zone, StoreRevision revision) {
    /** What has changed. */
    public enum Kind {
        /** No new request may go to the zone from now on. */
        EVACUATED,
        /** The zone gets requests again. */
        RESTORED,
        /** The item is missing from an older copy of the store; the zone stays evacuated for now. */
        REMOVAL_DEFERRED,
        /** The item has no effect, because too many zones are evacuated already. */
        REJECTED;

        /** Whether other servers may be chosen for requests than before. */
        public boolean affectsPlacement() {
            return this == EVACUATED || this == RESTORED;
        }
    }
}
