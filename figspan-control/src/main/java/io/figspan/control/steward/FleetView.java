package io.figspan.control.steward;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.util.RendezvousHash;
import java.util.List;
import java.util.Set;

/**
 * What a host believes at one moment; orders are derived from it and checked against a fresh one.
 *
 * @param inForce settings version in force on this host
 * @param liveHosts seats that the host believes alive, its own included
 * @param leaving engine processes that are leaving
 * @param atNanos when the membership view was last confirmed by a peer
 */
public record FleetView(
        SettingsVersion inForce, List<HostId> liveHosts, Set<BackendIncarnation> leaving, long atNanos) {
    public FleetView {
        liveHosts = List.copyOf(liveHosts);
        leaving = Set.copyOf(leaving);
    }

    /** Tells whether {@code self} is the first live host in the rendezvous order of the engine. */
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
