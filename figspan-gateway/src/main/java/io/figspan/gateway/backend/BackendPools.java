package io.figspan.gateway.backend;

import io.figspan.cluster.coldserver.ColdSource;
import io.figspan.control.leaving.LeavingSource;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.ServiceId;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.BackendResponse;
import io.figspan.policy.evacuation.ZoneEvacuations;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The registered backend servers, each with a connection pool. All methods must be called on the event loop. */
public final class BackendPools {
    private final EventLoop loop;
    private final DrainNotices drainNotices;
    private final ServerPauses pauses;
    private final ZoneEvacuations evacuations = new ZoneEvacuations();
    private final Map<BackendServerId, Registration> registrations = new HashMap<>();
    private final Map<AvailabilityZoneId, AdaptiveConnectTimeout> connectTimeouts = new HashMap<>();

    private ColdTimeListener coldTimeListener = (server, remainingMs, source) -> {};

    /** Registered servers whose entries are missing, perhaps only because their leases have expired. */
    private final Set<BackendServerId> lapsed = new HashSet<>();

    /** Receives how long a server stays cold; 0 if it is warm. */
    public interface ColdTimeListener {
        void stated(BackendIncarnation server, long remainingMs, ColdSource source);
    }

    private record Registration(BackendServer server, ConnectionPool pool) {}

    public BackendPools(EventLoop loop, DecisionLog log) {
        this.loop = loop;
        this.drainNotices = new DrainNotices(log);
        this.pauses = new ServerPauses(log);
    }

    public void setColdTimeListener(ColdTimeListener listener) {
        coldTimeListener = listener;
    }

    /** Reads what a server says of itself in the head of a response. */
    public void responded(BackendIncarnation server, BackendResponse response, long nowNanos) {
        if (response.wrongServer()) {
            return;
        }
        if (response.isLeaving()) {
            drainNotices.record(server, LeavingSource.RESPONSE, nowNanos);
        }
        pauses.responded(server, response, nowNanos);
        response.coldMs().ifPresent(remainingMs -> coldTimeListener.stated(server, remainingMs, ColdSource.RESPONSE));
    }

    /** The servers that have asked this host for a pause. */
    public ServerPauses pauses() {
        return pauses;
    }

    /** The zones whose servers get no new requests. */
    public ZoneEvacuations evacuations() {
        return evacuations;
    }

    /** The servers among these, and earlier ones, that are known to drain. */
    public DrainNotices drainNotices() {
        return drainNotices;
    }

    /** Registers a server or updates its registration. A changed address gets a new pool. */
    public void put(BackendServer server) {
        Registration registered = registrations.get(server.id());
        boolean sameAddress =
                registered != null && registered.server().address().equals(server.address());
        if (registered != null && !sameAddress) {
            registered.pool().closeAllIdle();
        }
        ConnectionPool pool = sameAddress ? registered.pool() : newPool(server);
        if (registered != null && !registered.server().incarnation().equals(server.incarnation())) {
            pauses.forget(server.id());
        }
        registrations.put(server.id(), new Registration(server, pool));
        lapsed.remove(server.id());
        coldTimeListener.stated(server.incarnation(), server.warmUpMs(), ColdSource.ENTRY);
        if (server.isLeaving()) {
            drainNotices.record(server.incarnation(), LeavingSource.LIST, System.nanoTime());
        }
    }

    private ConnectionPool newPool(BackendServer server) {
        AdaptiveConnectTimeout timeout =
                connectTimeouts.computeIfAbsent(server.zone(), ignored -> new AdaptiveConnectTimeout());
        return new ConnectionPool(loop, server.address(), timeout);
    }

    /** Marks a server whose entry is missing; registering it again removes the mark. */
    public void markLapsed(BackendServerId id) {
        if (registrations.containsKey(id)) {
            lapsed.add(id);
        }
    }

    /** Removes a server and closes its idle connections; exchanges in progress continue. */
    public void remove(BackendServerId id) {
        Registration registration = registrations.remove(id);
        lapsed.remove(id);
        pauses.forget(id);
        if (registration != null) {
            registration.pool().closeAllIdle();
        }
    }

    public Optional<BackendServer> find(BackendServerId id) {
        return Optional.ofNullable(registrations.get(id)).map(this::current);
    }

    /** The registration of a server, which is leaving if any source has said so. */
    private BackendServer current(Registration registration) {
        BackendServer server = registration.server();
        boolean isNewlyLeaving = !server.isLeaving() && drainNotices.isLeaving(server.incarnation());
        return isNewlyLeaving ? server.asLeaving() : server;
    }

    /**
     * Whether a server may get new requests: it is registered, doesn't drain, is not in an evacuated zone and has not
     * asked for a pause.
     */
    public boolean acceptsRequests(BackendServerId id) {
        return find(id).filter(this::mayBeChosen).isPresent() && pauses.admits(id, System.nanoTime());
    }

    private boolean mayBeChosen(BackendServer server) {
        return !server.isLeaving() && !evacuations.isEvacuated(server.zone());
    }

    /** Whether a server is registered in an evacuated zone. */
    public boolean isEvacuated(BackendServerId id) {
        return !evacuations.isEmpty()
                && find(id).filter(server -> evacuations.isEvacuated(server.zone()))
                        .isPresent();
    }

    /** The services of which no server can be chosen, while the evacuated zones have servers that could be. */
    public Set<ServiceId> evacuatedServices() {
        if (evacuations.isEmpty()) {
            return Set.of();
        }
        Set<ServiceId> evacuated = new HashSet<>();
        for (Registration registration : registrations.values()) {
            BackendServer server = current(registration);
            if (!server.isLeaving() && evacuations.isEvacuated(server.zone())) {
                evacuated.add(server.service());
            }
        }
        available().forEach((service, servers) -> {
            if (!servers.isEmpty()) {
                evacuated.remove(service);
            }
        });
        return evacuated;
    }

    /**
     * The servers of each service that may be chosen for new requests; empty for a service whose servers all leave or
     * are in evacuated zones. If the entries of a few servers are missing, these have probably left. If those of most
     * are, their leases have expired together and say nothing about the servers.
     */
    public Map<ServiceId, List<BackendServer>> available() {
        Map<ServiceId, List<BackendServer>> byService = new HashMap<>();
        for (Registration registration : registrations.values()) {
            BackendServer server = current(registration);
            List<BackendServer> servers = byService.computeIfAbsent(server.service(), ignored -> new ArrayList<>());
            if (mayBeChosen(server)) {
                servers.add(server);
            }
        }
        byService.values().forEach(this::removeFewLapsed);
        return byService;
    }

    private void removeFewLapsed(List<BackendServer> servers) {
        long lapsedCount =
                servers.stream().filter(server -> lapsed.contains(server.id())).count();
        if (lapsedCount <= servers.size() / 2) {
            servers.removeIf(server -> lapsed.contains(server.id()));
        }
    }

    /**
     * Acquires a connection to a registered server.
     *
     * @param mustBeNew whether to open a new connection; the server may already have closed a pooled one without this
     *     host knowing
     */
    public HttpConnection acquire(BackendServerId id, boolean mustBeNew, long nowNanos) {
        ConnectionPool pool = registrations.get(id).pool();
        return mustBeNew ? pool.acquireNew() : pool.acquire(nowNanos);
    }

    /** Returns a connection to its pool after a complete exchange. */
    public void release(BackendServerId id, HttpConnection connection) {
        Registration registration = registrations.get(id);
        if (registration == null) {
            connection.close();
            return;
        }
        registration.pool().release(connection);
    }

    /** Closes connections that have exceeded their idle time. */
    public void closeIdle(long nowNanos) {
        registrations.values().forEach(registration -> registration.pool().closeIdle(nowNanos));
    }
}
