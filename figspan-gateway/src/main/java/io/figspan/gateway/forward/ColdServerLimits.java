package io.figspan.gateway.forward;

import io.figspan.cluster.coldserver.ColdAction;
import io.figspan.cluster.coldserver.ColdBound;
import io.figspan.cluster.coldserver.ColdServers;
import io.figspan.cluster.coldserver.ColdSource;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.ServiceId;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.peer.PeerSender;
import io.figspan.policy.placing.RequestGate;
import io.figspan.settings.gateway.ServiceProfile;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Drives the limits of cold servers: reads their cold times, exchanges them and the requests sent with other hosts, and
 * tells the placers which servers accept a request. Confined to the event loop.
 */
public final class ColdServerLimits implements RequestGate {
    private final BackendPools pools;
    private final DecisionLog log;
    private final ColdServers servers;
    private Optional<PeerSender> sender = Optional.empty();
    private Map<ServiceId, ServiceProfile> services = Map.of();
    private PossibleUsers possibleUsers = (server, hosts) -> hosts;

    /** Source of those among the hosts that may send requests to a server. */
    interface PossibleUsers {
        Set<HostId> of(BackendServer server, Set<HostId> hosts);
    }

    ColdServerLimits(HostId self, BackendPools pools, DecisionLog log, GatewayMetrics metrics, RandomGenerator random) {
        this.pools = pools;
        this.log = log;
        this.servers = new ColdServers(self, new RegisteredServers(), ColdBound.DEFAULT, random);
        pools.setColdTimeListener(this::stated);
        metrics.gauge(
                "servers.cold", () -> servers.coldServers(System.nanoTime()).size());
    }

    /** Looks up what the settings and the placement say about the registered servers. */
    private final class RegisteredServers implements ColdServers.Fleet {
        @Override
        public double requestsPerSecond(BackendIncarnation server) {
            return registration(server)
                    .map(found -> services.get(found.service()))
                    .filter(ServiceProfile::limitsColdServers)
                    .map(ServiceProfile::coldRequestsPerSecond)
                    .orElse(0.0);
        }

        @Override
        public Set<HostId> hostsUsing(BackendIncarnation server, Set<HostId> hosts) {
            return registration(server)
                    .map(found -> possibleUsers.of(found, hosts))
                    .orElse(Set.of());
        }
    }

    private Optional<BackendServer> registration(BackendIncarnation server) {
        return pools.find(server.server()).filter(found -> found.incarnation().equals(server));
    }

    void setSender(PeerSender newSender) {
        sender = Optional.of(newSender);
    }

    void setPossibleUsers(PossibleUsers newPossibleUsers) {
        possibleUsers = newPossibleUsers;
    }

    /** Replaces the bound of the requests that reach a cold server in any second. */
    public void setBound(ColdBound bound) {
        servers.setBound(bound);
    }

    /**
     * Updates the set of live hosts, which includes this one.
     *
     * @param isFleetKnown whether most of the seed hosts are among them
     */
    public void hostsChanged(Set<HostId> hosts, boolean isFleetKnown) {
        servers.hostsChanged(hosts, isFleetKnown, System.nanoTime());
    }

    /** Applies the settings of the services. */
    void apply(Map<ServiceId, ServiceProfile> newServices) {
        services = Map.copyOf(newServices);
    }

    /** Applies changed settings and servers, and forgets servers that are no longer registered. */
    void serversChanged() {
        servers.serversChanged(server -> registration(server).isPresent(), System.nanoTime());
    }

    private void stated(BackendIncarnation server, long remainingMs, ColdSource source) {
        execute(servers.stated(server, remainingMs, source, System.nanoTime()));
    }

    @Override
    public boolean admits(BackendServerId server, long nowNanos) {
        return servers.isEmpty()
                || incarnation(server)
                        .map(known -> servers.admits(known, nowNanos))
                        .orElse(true);
    }

    @Override
    public long reopensNanos(BackendServerId server, long nowNanos) {
        return incarnation(server)
                .map(known -> servers.reopensNanos(known, nowNanos))
                .orElse(nowNanos);
    }

    @Override
    public void sent(BackendServerId server, long nowNanos) {
        if (!servers.isEmpty()) {
            incarnation(server).ifPresent(known -> execute(servers.sent(known, nowNanos)));
        }
    }

    /** Whether a request that was placed at a server at this time may still be written. */
    boolean mayWrite(BackendServerId server, long placedNanos) {
        return servers.isEmpty()
                || incarnation(server)
                        .map(known -> servers.mayWrite(known, placedNanos, System.nanoTime()))
                        .orElse(true);
    }

    private Optional<BackendIncarnation> incarnation(BackendServerId server) {
        return pools.find(server).map(BackendServer::incarnation);
    }

    /** The services with servers whose requests are limited now. */
    Set<ServiceId> limitedServices() {
        Set<ServiceId> limited = new HashSet<>();
        for (BackendIncarnation server : servers.coldServers(System.nanoTime())) {
            registration(server).ifPresent(found -> limited.add(found.service()));
        }
        return limited;
    }

    public void receive(Peer from, PeerMessage.ColdServerUses message) {
        execute(servers.receive(from.incarnation(), message, System.nanoTime()));
    }

    void tick(long nowNanos) {
        execute(servers.tick(nowNanos));
    }

    private void execute(List<ColdAction> actions) {
        for (ColdAction action : actions) {
            if (action instanceof ColdAction.SendTo one) {
                sender.ifPresent(peers -> peers.sendTo(Set.of(one.host()), one.message()));
            } else if (action instanceof ColdAction.SendToAll all) {
                sender.ifPresent(peers -> peers.sendToAll(all.message()));
            } else if (action instanceof ColdAction.BecameCold cold) {
                log.info(Part.LIMIT, "serverCold")
                        .text("server", cold.server())
                        .text("requestsPerSecond", cold.requestsPerSecond())
                        .number("remainingMs", cold.remainingMs())
                        .write();
            } else if (action instanceof ColdAction.BecameWarm warm) {
                log.info(Part.LIMIT, "serverWarm")
                        .text("server", warm.server())
                        .text("requestsPerSecond", warm.requestsPerSecond())
                        .number("sent", warm.sentCount())
                        .write();
            }
        }
    }
}
