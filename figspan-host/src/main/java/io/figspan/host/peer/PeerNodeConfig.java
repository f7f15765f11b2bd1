package io.figspan.host.peer;

import io.figspan.cluster.membership.MembershipConfig;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.wire.PeerKey;
import java.util.List;

/**
 * What a peer node needs from the host file.
 *
 * @param self this process; its address is where it listens and what others connect to
 * @param seeds addresses of some other hosts; may contain the own address
 */
public record PeerNodeConfig(Peer self, List<PeerAddress> seeds, PeerKey key, MembershipConfig tuning) {
    public PeerNodeConfig {
        seeds = List.copyOf(seeds);
    }

    public static PeerNodeConfig of(Peer self, List<PeerAddress> seeds, PeerKey key) {
        return new PeerNodeConfig(self, seeds, key, MembershipConfig.DEFAULTS);
    }
}
