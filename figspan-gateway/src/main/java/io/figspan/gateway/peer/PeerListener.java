package io.figspan.gateway.peer;

import io.figspan.cluster.message.Peer;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedRequest;
import java.util.List;
import java.util.Set;

/** Hears what other hosts tell. */
public interface PeerListener {
    /** All that a host has at model engines now. */
    void onWork(HostId host, List<PlacedRequest> work);

    /** The live hosts, this one included, are others than before. */
    void onHostsChanged(Set<HostId> hosts);

    /** A host is no longer heard. */
    void onHostGone(HostId host);

    /** A host knows newer items of the store than this one. */
    void onNewerItems(Peer peer, long settingsRevision, long serversRevision);
}
