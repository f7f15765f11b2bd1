package io.figspan.gateway.peer;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.HostId;
import java.util.Set;

/** Sends messages to other hosts. A message may be lost. */
public interface PeerSender {
    /** Sends to these hosts, as far as they are live. */
    void sendTo(Set<HostId> hosts, PeerMessage message);

    void sendToAll(PeerMessage message);

    /** Sends to that many random hosts, or to all if there are fewer. */
    void sendToSome(PeerMessage message, int hostCount);
}
