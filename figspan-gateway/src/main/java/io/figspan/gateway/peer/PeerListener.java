package io.figspan.gateway.peer;

import io.figspan.cluster.message.Peer;
import io.figspan.core.id.HostId;
import io.figspan.core.work.PlacedWork;
import java.util.List;

/** Hears what other hosts tell. */
public interface PeerListener {
    /** All that a host has at model engines now. */
    void onWork(HostId host, List<PlacedWork> work);

    /** A host is no longer heard. */
    void onHostGone(HostId host);

    /** A host knows newer items of the store than this one. */
    void onNewerItems(Peer peer, long settingsRevision, long serversRevision);
}
