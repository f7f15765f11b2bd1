package io.figspan.cluster.message;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;

/** One incarnation of a host, with its availability zone and the address of its peer listener. */
public record Peer(HostIncarnation incarnation, AvailabilityZoneId zone, PeerAddress address) {
    public HostId host() {
        return incarnation.host();
    }

    @Override
    public String toString() {
        return incarnation + " (" + zone + ", " + address + ")";
    }
}
