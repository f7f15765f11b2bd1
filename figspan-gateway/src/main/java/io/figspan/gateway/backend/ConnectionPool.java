package io.figspan.gateway.backend;

import io.figspan.gateway.http.HttpConnection;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Pool of HTTP connections to one backend server. Idle connections are reused, the most recently used first, as long as
 * the server certainly keeps them open. All methods must be called on the event loop.
 */
final class ConnectionPool {
    /** Maximum idle time if the server announces none. */
    static final long DEFAULT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Margin before the server's idle timeout ends, because the server starts to measure it before this host does. */
    static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final AdaptiveConnectTimeout connectTimeout;
    private final Deque<HttpConnection> idle = new ArrayDeque<>();

    ConnectionPool(EventLoop loop, InetSocketAddress address, AdaptiveConnectTimeout connectTimeout) {
        this.loop = loop;
        this.address = address;
        this.connectTimeout = connectTimeout;
    }

    /** Returns an idle connection, or opens a new one. */
    HttpConnection acquire(long nowNanos) {
        while (!idle.isEmpty()) {
            HttpConnection connection = idle.pollLast();
            if (connection.isIdle() && !isIdleTooLong(connection, nowNanos)) {
                return connection;
            }
            connection.close();
        }
        return acquireNew();
    }

    /** Opens a new connection. */
    HttpConnection acquireNew() {
        return HttpConnection.open(loop, address, connectTimeout.timeoutMs());
    }

    /** Returns a connection to the pool after a complete exchange. */
    void release(HttpConnection connection) {
        connectTimeout.recordConnect(connection.connectNanos());
        if (connection.isIdle()) {
            idle.addLast(connection);
        }
    }

    void closeIdle(long nowNanos) {
        idle.removeIf(connection -> {
            boolean unusable = !connection.isIdle() || isIdleTooLong(connection, nowNanos);
            if (unusable) {
                connection.close();
            }
            return unusable;
        });
    }

    void closeAllIdle() {
        idle.forEach(HttpConnection::close);
        idle.clear();
    }

    private static boolean isIdleTooLong(HttpConnection connection, long nowNanos) {
        long maxIdleNanos = Math.min(DEFAULT_IDLE_NANOS, connection.keepAliveNanos() - IDLE_MARGIN_NANOS);
        return nowNanos - connection.idleSinceNanos() >= maxIdleNanos;
    }
}
