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
 * Accepts connections of other hosts. A connection that does not say hello in time, or sends a malformed, oversized,
 * foreign or replayed frame, is closed with a logged reason. Messages are delivered on the context given.
 */
public final class PeerServer {
    /** Twice the bound of the membership table, since a replaced process may leave its connection behind. */
    static final int MAX_CONNECTIONS = 2_048;

    /** Network latency is below a millisecond; a peer that needs longer than this is paused or foreign. */
    static final long HELLO_DEADLINE_MS = 3_000;

    /** Each member probes each other one once in 1,024 s at the bound of the membership table. */
    static final long IDLE_LIMIT_MS = 1_200_000;

    private static final long SWEEP_INTERVAL_MS = 60_000;
    private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);

    private final Vertx vertx;
    private final Context context;
    private final PeerIdentity identity;
    private final WireStats stats;
    private final PublishProcessor<Inbound> inbound = PublishProcessor.create();
    private final Set<PeerConnection> connections = new HashSet<>();
    private final Map<PeerAddress, PeerConnection> byPeer = new HashMap<>();
    private NetServer server;
    private long sweepTimer = -1;

    public PeerServer(Vertx vertx, Context context, PeerIdentity identity, WireStats stats) {
        this.vertx = vertx;
        this.context = context;
        this.identity = identity;
        this.stats = stats;
    }

    /** Received messages. A subscriber that does not keep up loses messages, which are counted as dropped. */
    public Flowable<Inbound> inbound() {
        return inbound;
    }

    public Completable listen(String address, int port) {
        return onContext(() -> {
            server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
            sweepTimer = vertx.setPeriodic(SWEEP_INTERVAL_MS, ignored -> closeIdle());
            return server.connectHandler(this::accept).listen(port, address);
        });
    }

    /** The port that the server listens on; differs from the port asked for when that was 0. */
    public int actualPort() {
        return server.actualPort();
    }

    /** The newest open connection that the process at this address has made; only for the event loop given. */
    public Optional<PeerLink> linkTo(PeerAddress address) {
        return Optional.ofNullable(byPeer.get(address));
    }

    /** Closes the connection that a process has made that is gone; only for the event loop given. */
    public void forget(PeerAddress address) {
        PeerConnection connection = byPeer.get(address);
        if (connection != null) {
            connection.closeQuietly();
        }
    }

    public Completable close() {
        return onContext(() -> {
            vertx.cancelTimer(sweepTimer);
            new ArrayList<>(connections).forEach(PeerConnection::closeQuietly);
            return server == null ? Future.succeededFuture() : server.close();
        });
    }

    private void accept(NetSocket socket) {
        if (connections.size() >= MAX_CONNECTIONS) {
            LOG.warn("[wire] refused connection of {}: {} are open", socket.remoteAddress(), MAX_CONNECTIONS);
            socket.close();
            return;
        }
        PeerConnection connection = PeerConnection.start(socket, identity, stats, true, new Acceptor());
        connections.add(connection);
        vertx.setTimer(HELLO_DEADLINE_MS, ignored -> {
            if (!connection.isOpen()) {
                connection.close("no hello within " + HELLO_DEADLINE_MS + " ms");
            }
        });
    }

    /** Keeps the tables of connections and passes messages on. */
    private final class Acceptor implements PeerConnection.Listener {
        @Override
        public void opened(PeerConnection connection) {
            byPeer.put(connection.peer().address(), connection);
        }

        @Override
        public void received(PeerConnection connection, Inbound message) {
            if (!inbound.offer(message)) {
                stats.dropped();
            }
        }

        @Override
        public void closed(PeerConnection connection) {
            connections.remove(connection);
            if (connection.wasOpened()) {
                byPeer.remove(connection.peer().address(), connection);
            }
        }
    }

    private void closeIdle() {
        long oldestNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(IDLE_LIMIT_MS);
        for (PeerConnection connection : new ArrayList<>(connections)) {
            if (connection.lastUseNanos() - oldestNanos < 0) {
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
