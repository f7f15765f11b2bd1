package io.figspan.gateway.forward;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.serverlimit.LimitAction;
import io.figspan.cluster.serverlimit.ServerLimits;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.peer.PeerSender;
import io.figspan.gateway.protocol.BackendResponse;
import io.figspan.policy.placing.RequestGate;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Drives the limits of requests a second that backend servers name in their responses: reads them, exchanges them and
 * their use with other hosts, and tells the placers which servers accept a request. Confined to the event loop.
 */
public final class RequestLimits implements RequestGate {
    private final BackendPools pools;
    private final DecisionLog log;
    private final ServerLimits limits;
    private final ColdServerLimits coldServers;
    private Optional<PeerSender> sender = Optional.empty();
    private Function<BackendServerId, Set<HostId>> hostsUsing;

    public RequestLimits(
            HostId self, BackendPools pools, DecisionLog log, GatewayMetrics metrics, RandomGenerator random) {
        this.pools = pools;
        this.log = log;
        this.hostsUsing = server -> Set.of(self);
        this.limits = new ServerLimits(self, server -> hostsUsing.apply(server.server()), random);
        this.coldServers = new ColdServerLimits(self, pools, log, metrics, random);
        metrics.gauge("servers.limited", limits::limitedCount);
    }

    /** The limits of cold servers. */
    public ColdServerLimits coldServers() {
        return coldServers;
    }

    /** Sets the way to the other hosts; without one, this host uses the limits alone. */
    public void setSender(PeerSender newSender) {
        sender = Optional.of(newSender);
        coldServers.setSender(newSender);
    }

    /** Sets the source of the live hosts that may send requests to a server. */
    void setHostsUsing(Function<BackendServerId, Set<HostId>> newHostsUsing) {
        hostsUsing = newHostsUsing;
    }

    // Servers

    /** Reads the limit from the head of a response. A success without one ends the limit of its server. */
    void answered(BackendIncarnation server, BackendResponse response) {
        boolean isStatement = response.requestsPerSecond().isPresent() || response.isSuccess();
        if (isStatement && !response.wrongServer()) {
            execute(limits.answered(server, response.requestsPerSecond(), System.nanoTime()));
        }
    }

    @Override
    public boolean admits(BackendServerId server, long nowNanos) {
        return coldServers.admits(server, nowNanos)
                && (limits.isEmpty()
                        || incarnation(server)
                                .map(known -> limits.admits(known, nowNanos))
                                .orElse(true));
    }

    @Override
    public long reopensNanos(BackendServerId server, long nowNanos) {
        return coldServers.reopensNanos(server, nowNanos);
    }

    @Override
    public void sent(BackendServerId server, long nowNanos) {
        coldServers.sent(server, nowNanos);
        if (!limits.isEmpty()) {
            incarnation(server).ifPresent(known -> execute(limits.sent(known, nowNanos)));
        }
    }

    private Optional<BackendIncarnation> incarnation(BackendServerId server) {
        return pools.find(server).map(BackendServer::incarnation);
    }

    /** Forgets the limits of servers that are no longer registered. */
    void serversChanged() {
        limits.retainServers(
                server -> incarnation(server.server()).filter(server::equals).isPresent());
    }

    // Other hosts

    public void receive(Peer from, PeerMessage.ServerLimitUses message) {
        execute(limits.receive(from.incarnation(), message, System.nanoTime()));
    }

    /** Whether no server has named a limit. */
    public boolean isEmpty() {
        return limits.isEmpty();
    }

    /** Updates the set of live hosts from which nothing was heard lately. */
    public void silentHostsChanged(Set<HostId> hosts) {
        limits.silentHostsChanged(hosts);
    }

    void tick(long nowNanos) {
        execute(limits.tick(nowNanos));
        coldServers.tick(nowNanos);
    }

    private void execute(List<LimitAction> actions) {
        for (LimitAction action : actions) {
            if (action instanceof LimitAction.SendTo some) {
                sender.ifPresent(peers -> peers.sendTo(some.hosts(), some.message()));
            } else if (action instanceof LimitAction.SendToAll all) {
                sender.ifPresent(peers -> peers.sendToAll(all.message()));
            } else if (action instanceof LimitAction.LimitChanged changed) {
                logChange(changed);
            }
        }
    }

    private void logChange(LimitAction.LimitChanged changed) {
        DecisionLog.Line line = changed.isLimited()
                ? log.info(Part.LIMIT, "serverLimited").text("requestsPerSecond", changed.requestsPerSecond())
                : log.info(Part.LIMIT, "serverLimitEnded");
        line.text("server", changed.server()).write();
    }
}
