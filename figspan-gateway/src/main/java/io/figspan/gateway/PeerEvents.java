package io.figspan.gateway;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.control.leaving.LeavingSource;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.StoreRevision;
import io.figspan.core.work.PlacedRequest;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.fleet.FleetState;
import io.figspan.gateway.forward.RequestCrashes;
import io.figspan.gateway.forward.RequestLimits;
import io.figspan.gateway.forward.ServiceDispatchers;
import io.figspan.gateway.peer.CopyReader;
import io.figspan.gateway.peer.PeerListener;
import io.figspan.gateway.peer.PeerTracker;
import io.figspan.gateway.peer.WorkReportSource;
import java.util.List;
import java.util.Set;

/**
 * Passes what other hosts report on to the components of this host, and collects what this host reports to them. All
 * methods run on the event loop.
 */
final class PeerEvents implements PeerListener, WorkReportSource {
    private final FleetState fleet;
    private final BackendPools pools;
    private final ServiceDispatchers dispatchers;
    private final RequestCrashes requestCrashes;
    private final RequestLimits requestLimits;
    private final StoreWatchers storeWatchers;
    private PeerTracker peers;
    private CopyReader settingsReader;
    private CopyReader serversReader;
    private long lastReportSequence;

    PeerEvents(
            FleetState fleet,
            BackendPools pools,
            ServiceDispatchers dispatchers,
            RequestCrashes requestCrashes,
            RequestLimits requestLimits,
            StoreWatchers storeWatchers) {
        this.fleet = fleet;
        this.pools = pools;
        this.dispatchers = dispatchers;
        this.requestCrashes = requestCrashes;
        this.requestLimits = requestLimits;
        this.storeWatchers = storeWatchers;
    }

    /** Sets the components that themselves need this one; must be called before any event. */
    void connect(PeerTracker newPeers, CopyReader newSettingsReader, CopyReader newServersReader) {
        peers = newPeers;
        settingsReader = newSettingsReader;
        serversReader = newServersReader;
        pools.drainNotices().addListener(this::announceLeaving);
    }

    @Override
    public PeerMessage.WorkReport report() {
        return new PeerMessage.WorkReport(
                ++lastReportSequence,
                fleet.settings().revision(),
                fleet.servers().revision(),
                storeWatchers.lastResponseAgeMs(System.nanoTime()),
                dispatchers.ownWork());
    }

    @Override
    public Set<HostId> cell() {
        return dispatchers.cellHosts();
    }

    @Override
    public Set<HostId> reportRecipients(List<PlacedRequest> work) {
        return dispatchers.reportRecipients(work);
    }

    @Override
    public void onHostsChanged(Set<HostId> hosts) {
        dispatchers.hostsChanged(hosts);
        requestCrashes.hostsChanged(hosts);
        requestLimits.coldServers().hostsChanged(hosts, peers.knowsMostSeeds());
    }

    @Override
    public void onHostJoined(Peer peer) {
        requestCrashes.evidenceForNewHost(peer.host()).forEach(evidence -> peers.send(evidence, List.of(peer)));
    }

    @Override
    public void onCrashEvidence(PeerMessage.CrashEvidence evidence) {
        requestCrashes.receive(evidence);
    }

    @Override
    public void onServerLimitUses(Peer from, PeerMessage.ServerLimitUses uses) {
        requestLimits.receive(from, uses);
    }

    @Override
    public void onColdServerUses(Peer from, PeerMessage.ColdServerUses uses) {
        requestLimits.coldServers().receive(from, uses);
    }

    @Override
    public void onServerLeaving(BackendIncarnation server) {
        pools.drainNotices().record(server, LeavingSource.GOSSIP, System.nanoTime());
    }

    private void announceLeaving(BackendIncarnation server, LeavingSource source) {
        if (source != LeavingSource.GOSSIP) {
            peers.announceLeaving(server);
        }
    }

    @Override
    public void onWorkReport(HostId host, List<PlacedRequest> work) {
        dispatchers.peerWork(host, work);
    }

    @Override
    public void onHostSilent(HostId host) {
        dispatchers.peerWork(host, List.of());
    }

    @Override
    public void onNewerItems(Peer peer, StoreRevision settingsRevision, StoreRevision serversRevision) {
        settingsReader.onPeerRevision(peer, settingsRevision);
        serversReader.onPeerRevision(peer, serversRevision);
    }
}
