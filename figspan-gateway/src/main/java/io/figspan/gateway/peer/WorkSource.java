package io.figspan.gateway.peer;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import java.util.List;
import java.util.Set;

/** This host's work as the other hosts are told of it. */
public interface WorkSource {
    /** All that this host has at model engines now. */
    PeerMessage.WorkReport report();

    /** The hosts that share model engines with this one, which report to it as it does to them. */
    Set<HostId> cell();

    /** The hosts that place requests at the engines of the work: the cell, and others where work lies outside it. */
    Set<HostId> audience(List<PlacedRequest> work);
}
