package io.figspan.gateway.backend;

import io.figspan.gateway.http.HttpConnection;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The connections of this host to one backend server. Idle ones are reused, the latest first, while the server surely
 * keeps them. All methods run on the event loop.
 */
final class ConnectionPool {
    /** Longest idle time when the server names none. */
    static final long DEFAULT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The server's clock for an idle connection starts before this host's, so it is not used to its end. */
    static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final AdaptiveConnectTimeout connectTimes;
    private final Deque<HttpConnection> idle = new ArrayDeque<>();

    ConnectionPool(EventLoop loop, InetSocketAddress address, AdaptiveConnectTimeout connectTimes) {
        this.loop = loop;
        this.address = address;
        this.connectTimes = connectTimes;
    }

    /** An idle connection, or a new one. */
    HttpConnection acquire(long nowNanos) {
        while (!idle.isEmpty()) {
            HttpConnection connection = idle.pollLast();
            if (connection.isIdle() && !hasIdledOut(connection, nowNanos)) {
                return connection;
            }
            connection.close();
        }
        return acquireNew();
    }

    /** A connection that has carried no exchange yet. */
    HttpConnection acquireNew() {
        return HttpConnection.open(loop, address, connectTimes.timeoutMs());
    }

    /** Takes back a connection whose exchange is complete. */
    void release(HttpConnection connection) {
        connectTimes.connected(connection.connectNanos());
        if (connection.isIdle()) {
            idle.addLast(connection);
        }
    }

    void closeIdle(long nowNanos) {
        idle.removeIf(connection -> {
            boolean drop = !connection.isIdle() || hasIdledOut(connection, nowNanos);
            if (drop) {
                connection.close();
            }
            return drop;
        });
    }

    void closeAllIdle() {
        idle.forEach(HttpConnection::close);
        idle.clear();
    }

    private static boolean hasIdledOut(HttpConnection connection, long nowNanos) {
        long keptNanos = Math.min(DEFAULT_IDLE_NANOS, connection.keepAliveNanos() - IDLE_MARGIN_NANOS);
        return nowNanos - connection.idleSinceNanos() >= keptNanos;
    }
}
