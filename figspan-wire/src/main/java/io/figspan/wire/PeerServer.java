package io.figspan.wire;

import io.figspan.cluster.message.PeerAddress;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.PublishProcessor;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections from other hosts and publishes the messages received on them, on the given context. A connection
 * is closed with a logged reason if its hello does not arrive in time or if a frame is malformed, oversized, replayed
 * or not authentic.
 */
public final class PeerServer {
    /** Twice the limit of the membership table, since a replaced process may leave its connection open. */
    static final int MAX_CONNECTIONS = 2_048;

    /** Network latency is below a millisecond, so a peer that takes longer than this is paused or not a host. */
    static final long HELLO_DEADLINE_MS = 3_000;

    /** Above the probe interval: with a full membership table, each member probes each other member every 1,024 s. */
    static final long IDLE_LIMIT_MS = 1_200_000;

    private static final long IDLE_CHECK_INTERVAL_MS = 60_000;
    private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);

    private final Vertx vertx;
    private final Context context;
    private final PeerIdentity identity;
    private final WireStats stats;
    private final SendQueueBudget sendBudget;
    private final PublishProcessor<ReceivedMessage> inbound = PublishProcessor.create();
    private final Set<PeerConnection> connections = new HashSet<>();
    private final Map<PeerAddress, PeerConnection> connectionsByAddress = new HashMap<>();
    private NetServer server;
    private long idleCheckTimer = -1;

    public PeerServer(
            Vertx vertx, Context context, PeerIdentity identity, WireStats stats, SendQueueBudget sendBudget) {
        this.vertx = vertx;
        this.context = context;
        this.identity = identity;
        this.stats = stats;
        this.sendBudget = sendBudget;
    }

    /** Received messages. Messages are dropped, and counted as dropped, while a subscriber does not keep up. */
    public Flowable<ReceivedMessage> inbound() {
        return inbound;
    }

    public Completable listen(String address, int port) {
        return onContext(() -> {
            server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
            idleCheckTimer = vertx.setPeriodic(IDLE_CHECK_INTERVAL_MS, ignored -> closeIdle());
            return server.connectHandler(this::accept).listen(port, address);
        });
    }

    /** The port that the server listens on; chosen by the system if {@link #listen} was called with port 0. */
    public int actualPort() {
        return server.actualPort();
    }

    /** The newest open connection accepted from the peer at this address. Must be called on the given context. */
    public Optional<PeerLink> linkTo(PeerAddress address) {
        return Optional.ofNullable(connectionsByAddress.get(address));
    }

    /** Closes the connection accepted from a peer that has left or died. Must be called on the given context. */
    public void forget(PeerAddress address) {
        PeerConnection connection = connectionsByAddress.get(address);
        if (connection != null) {
            connection.closeQuietly();
        }
    }

    public Completable close() {
        return onContext(() -> {
            vertx.cancelTimer(idleCheckTimer);
            new ArrayList<>(connections).forEach(PeerConnection::closeQuietly);
            return server == null ? Future.succeededFuture() : server.close();
        });
    }

    private void accept(NetSocket socket) {
        if (connections.size() >= MAX_CONNECTIONS) {
            LOG.warn(
                    "[wire] refused connection from {}: limit of {} open connections reached",
                    socket.remoteAddress(),
                    MAX_CONNECTIONS);
            socket.close();
            return;
        }
        PeerConnection connection =
                PeerConnection.start(socket, identity, stats, sendBudget, true, new AcceptedConnectionListener());
        connections.add(connection);
        vertx.setTimer(HELLO_DEADLINE_MS, ignored -> {
            if (!connection.isOpen()) {
                connection.close("no hello received within " + HELLO_DEADLINE_MS + " ms");
            }
        });
    }

    /** Maintains the connection tables and publishes received messages. */
    private final class AcceptedConnectionListener implements PeerConnection.Listener {
        @Override
        public void opened(PeerConnection connection) {
            connectionsByAddress.put(connection.peer().address(), connection);
        }

        @Override
        public void received(PeerConnection connection, ReceivedMessage message) {
            if (!inbound.offer(message)) {
                stats.recordDroppedMessage();
            }
        }

        @Override
        public void closed(PeerConnection connection) {
            connections.remove(connection);
            if (connection.wasOpened()) {
                connectionsByAddress.remove(connection.peer().address(), connection);
            }
        }
    }

    private void closeIdle() {
        long idleSinceNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(IDLE_LIMIT_MS);
        for (PeerConnection connection : new ArrayList<>(connections)) {
            if (connection.lastUseNanos() - idleSinceNanos < 0) {
                connection.closeQuietly();
            }
        }
    }

    private Completable onContext(Supplier<Future<?>> action) {
        return Completable.create(
                emitter -> context.runOnContext(ignored -> action.get().onComplete(result -> {
                    if (result.succeeded()) {
                        emitter.onComplete();
                    } else {
                        emitter.tryOnError(result.cause());
                    }
                })));
    }
}
