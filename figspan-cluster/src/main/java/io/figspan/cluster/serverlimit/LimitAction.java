package io.figspan.cluster.serverlimit;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import java.util.Set;

/** An action that {@link ServerLimits} requests from its driver, which executes a list of actions in order. */
public sealed interface LimitAction {
    /** Sends the message to these hosts. */
    record SendTo(Set<HostId> hosts, PeerMessage.ServerLimitUses message) implements LimitAction {
        public SendTo {
            hosts = Set.copyOf(hosts);
        }
    }

    /** A server has named another limit, or none any more. */
    record LimitChanged(BackendIncarnation server, boolean isLimited, double requestsPerSecond)
            implements LimitAction {}

    /** Sends the message to all other hosts. */
    record SendToAll(PeerMessage.ServerLimitUses message) implements LimitAction {}
}
