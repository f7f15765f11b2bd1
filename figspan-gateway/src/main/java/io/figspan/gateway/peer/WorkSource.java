package io.figspan.gateway.peer;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.HostId;
import java.util.Set;

/** This host's work as the other hosts are told of it. */
public interface WorkSource {
    /** All that this host has at model engines now. */
    PeerMessage.WorkReport report();

    /** The hosts that place requests at the engines that this host uses. They report to this one as well. */
    Set<HostId> audience();
}
