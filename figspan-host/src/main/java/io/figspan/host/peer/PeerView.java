package io.figspan.host.peer;

import io.figspan.cluster.message.Peer;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.SettingsVersion;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;

/** The node's view at one moment, safe to read on any thread. */
public record PeerView(
        List<Peer> live,
        SortedMap<AvailabilityZoneId, List<Peer>> liveByZone,
        SettingsVersion settings,
        boolean watchesService,
        int localHealthScore) {

    /** The live process at a seat. */
    public Optional<Peer> liveAt(HostId host) {
        return live.stream().filter(peer -> peer.host().equals(host)).findFirst();
    }
}
