package io.figspan.control.steward;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.util.RendezvousHash;
import java.util.List;
import java.util.Set;

/**
 * A host's view of the fleet at one time. Orders are derived from one view and checked against a newer one.
 *
 * @param inForce settings version in force on this host
 * @param liveHosts hosts considered alive, including this one
 * @param leaving engine processes that are leaving
 * @param atNanos monotonic time at which a peer last confirmed the membership
 */
public record FleetView(
        SettingsVersion inForce, List<HostId> liveHosts, Set<BackendIncarnation> leaving, long atNanos) {
    public FleetView {
        liveHosts = List.copyOf(liveHosts);
        leaving = Set.copyOf(leaving);
    }

    /** Returns whether {@code self} is the live host with the highest rendezvous weight for the engine. */
    public boolean isResponsible(HostId self, BackendServerId engine) {
        String key = "steward:" + engine;
        long ownWeight = RendezvousHash.weight(key, self.value());
        for (HostId host : liveHosts) {
            long weight = RendezvousHash.weight(key, host.value());
            if (weight > ownWeight || (weight == ownWeight && host.compareTo(self) < 0)) {
                return false;
            }
        }
        return liveHosts.contains(self);
    }
}
