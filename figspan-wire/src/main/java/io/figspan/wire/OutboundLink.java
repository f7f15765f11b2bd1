package io.figspan.wire;

import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connection to one address. Connects on demand, queues a bounded number of messages meanwhile, and backs off after a
 * failure with exponential delay and jitter.
 */
final class OutboundLink {
    /** Limit of messages queued while connecting; further ones are dropped. */
    static final int MAX_QUEUED_MESSAGES = 64;

    private static final long FIRST_BACKOFF_MS = 100;

    /** A host that has returned is reached again within this time, which is below the 3 s bounds of the guarantees. */
    private static final long MAX_BACKOFF_MS = 1_000;

    private static final Logger LOG = LoggerFactory.getLogger(OutboundLink.class);

    private final Vertx vertx;
    private final NetClient client;
    private final PeerAddress address;
    private final PeerIdentity identity;
    private final WireStats stats;
    private final SendQueueBudget sendBudget;
    private final RandomGenerator random;
    private final Consumer<ReceivedMessage> received;
    private final Queue<PeerMessage> queue = new ArrayDeque<>();
    private PeerConnection connection;
    private boolean connecting;
    private boolean closed;
    private long backoffMs = FIRST_BACKOFF_MS;
    private long retryAtNanos = System.nanoTime();

    OutboundLink(
            Vertx vertx,
            NetClient client,
            PeerAddress address,
            PeerIdentity identity,
            WireStats stats,
            SendQueueBudget sendBudget,
            RandomGenerator random,
            Consumer<ReceivedMessage> received) {
        this.vertx = vertx;
        this.client = client;
        this.address = address;
        this.identity = identity;
        this.stats = stats;
        this.sendBudget = sendBudget;
        this.random = random;
        this.received = received;
    }

    boolean isOpen() {
        return connection != null && connection.isOpen();
    }

    /** Sends or queues the message; returns false if it was dropped. */
    boolean send(PeerMessage message) {
        if (isOpen()) {
            return connection.send(message);
        }
        boolean backingOff = !connecting && System.nanoTime() - retryAtNanos < 0;
        if (closed || backingOff || queue.size() >= MAX_QUEUED_MESSAGES) {
            stats.recordDroppedMessage();
            return false;
        }
        queue.add(message);
        if (!connecting) {
            connect();
        }
        return true;
    }

    void close() {
        closed = true;
        dropQueue();
        if (connection != null) {
            connection.closeQuietly();
        }
    }

    private void connect() {
        connecting = true;
        client.connect(address.port(), address.address()).onComplete(result -> {
            if (result.failed()) {
                LOG.debug(
                        "[wire] cannot connect to {}: {}",
                        address,
                        result.cause().getMessage());
                handleFailure();
            } else if (closed) {
                result.result().close();
            } else {
                startHandshake(result.result());
            }
        });
    }

    private void startHandshake(NetSocket socket) {
        connection = PeerConnection.start(socket, identity, stats, sendBudget, false, new PeerConnection.Listener() {
            @Override
            public void opened(PeerConnection opened) {
                flush();
            }

            @Override
            public void received(PeerConnection from, ReceivedMessage inbound) {
                received.accept(inbound);
            }

            @Override
            public void closed(PeerConnection disconnected) {
                connection = null;
                handleFailure();
            }
        });
        PeerConnection started = connection;
        vertx.setTimer(PeerServer.HELLO_DEADLINE_MS, ignored -> {
            if (!started.isOpen()) {
                started.close("no hello received within " + PeerServer.HELLO_DEADLINE_MS + " ms");
            }
        });
    }

    private void flush() {
        connecting = false;
        backoffMs = FIRST_BACKOFF_MS;
        while (!queue.isEmpty() && connection != null) {
            connection.send(queue.poll());
        }
    }

    private void handleFailure() {
        connecting = false;
        dropQueue();
        long delayMs = backoffMs / 2 + random.nextLong(backoffMs / 2 + 1);
        retryAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }

    private void dropQueue() {
        queue.forEach(ignored -> stats.recordDroppedMessage());
        queue.clear();
    }
}
