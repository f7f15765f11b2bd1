package io.figspan.gateway.peer;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.StoreRevision;
import io.figspan.core.work.PlacedRequest;
import java.util.List;
import java.util.Set;

/** Receives reports of other hosts and changes of the live hosts. */
public interface PeerListener {
    /** All work that a host has at model engines now. */
    void onWorkReport(HostId host, List<PlacedRequest> work);

    /** The set of live hosts, which includes this one, has changed. */
    void onHostsChanged(Set<HostId> hosts);

    /** A host has stopped reporting. */
    void onHostSilent(HostId host);

    /** A host has joined. */
    void onHostJoined(Peer peer);

    /** A host has sent what it knows of prompt parts that crash engines. */
    void onCrashEvidence(PeerMessage.CrashEvidence evidence);

    /** A host has sent how much of the limits of backend servers it has used. */
    void onServerLimitUses(Peer from, PeerMessage.ServerLimitUses uses);

    /** A host has sent how long backend servers stay cold and how many requests it has sent them. */
    void onColdServerUses(Peer from, PeerMessage.ColdServerUses uses);

    /** Another host knows that a backend server drains. */
    void onServerLeaving(BackendIncarnation server);

    /** A host has newer items of the store than this one. */
    void onNewerItems(Peer peer, StoreRevision settingsRevision, StoreRevision serversRevision);
}
