package io.figspan.gateway.backend;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.gateway.http.HttpConnection;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The known backend servers and this host's connections to them. All methods run on the event loop. */
public final class BackendPools {
    private final EventLoop loop;
    private final Map<BackendServerId, Entry> entries = new HashMap<>();
    private final Map<AvailabilityZoneId, AdaptiveConnectTimeout> connectTimes = new HashMap<>();

    private record Entry(BackendServer server, ConnectionPool pool) {}

    public BackendPools(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds a server or takes its new state. */
    public void put(BackendServer server) {
        Entry known = entries.get(server.id());
        boolean sameAddress = known != null && known.server().address().equals(server.address());
        if (known != null && !sameAddress) {
            known.pool().closeAllIdle();
        }
        ConnectionPool pool = sameAddress ? known.pool() : newPool(server);
        entries.put(server.id(), new Entry(server, pool));
    }

    private ConnectionPool newPool(BackendServer server) {
        AdaptiveConnectTimeout times = connectTimes.computeIfAbsent(server.zone(), ignored -> new AdaptiveConnectTimeout());
        return new ConnectionPool(loop, server.address(), times);
    }

    /** Forgets a server; exchanges in progress go on. */
    public void remove(BackendServerId id) {
        Entry entry = entries.remove(id);
        if (entry != null) {
            entry.pool().closeAllIdle();
        }
    }

    public Optional<BackendServer> find(BackendServerId id) {
        return Optional.ofNullable(entries.get(id)).map(Entry::server);
    }

    public Iterable<BackendServer> all() {
        return entries.values().stream().map(Entry::server).toList();
    }

    /** A connection to a server; a new one where a reused one may already be closed by the server unnoticed. */
    public HttpConnection acquire(BackendServerId id, boolean mustBeNew, long nowNanos) {
        ConnectionPool pool = entries.get(id).pool();
        return mustBeNew ? pool.acquireNew() : pool.acquire(nowNanos);
    }

    /** Takes back a connection after a complete exchange. */
    public void release(BackendServerId id, HttpConnection connection) {
        Entry entry = entries.get(id);
        if (entry == null) {
            connection.close();
            return;
        }
        entry.pool().release(connection);
    }

    /** Closes connections that were idle for long. */
    public void closeIdle(long nowNanos) {
        entries.values().forEach(entry -> entry.pool().closeIdle(nowNanos));
    }
}
