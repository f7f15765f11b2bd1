package io.figspan.wire;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.security.SecureRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One TCP connection with its frame channel. All methods must be called on the event loop of the socket. */
final class PeerConnection implements PeerLink {
    /** Send queue limit: one settings part of the largest size plus the control messages queued behind it. */
    static final int MAX_QUEUED_BYTES = MessageKind.MAX_PART_BYTES + 1024 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(PeerConnection.class);
    private static final SecureRandom NONCE_RANDOM = new SecureRandom();

    private final NetSocket socket;
    private final PeerIdentity identity;
    private final WireStats stats;
    private final SendQueueBudget sendBudget;
    private final FrameChannel channel;
    private final boolean acceptor;
    private final Listener listener;
    private int queuedBytes;
    private boolean closed;
    private long lastUseNanos = System.nanoTime();

    /** Callbacks for the events of a connection; called on the event loop of the socket. */
    interface Listener {
        void opened(PeerConnection connection);

        void received(PeerConnection connection, ReceivedMessage inbound);

        void closed(PeerConnection connection);
    }

    private PeerConnection(
            NetSocket socket,
            PeerIdentity identity,
            WireStats stats,
            SendQueueBudget sendBudget,
            boolean acceptor,
            Listener listener) {
        this.socket = socket;
        this.identity = identity;
        this.stats = stats;
        this.sendBudget = sendBudget;
        this.acceptor = acceptor;
        this.listener = listener;
        byte[] nonce = new byte[Hello.NONCE_BYTES];
        NONCE_RANDOM.nextBytes(nonce);
        Hello hello = new Hello(Hello.PROTOCOL, Bytes.wrap(nonce), identity.self());
        this.channel = new FrameChannel(identity.key(), acceptor, hello);
    }

    static PeerConnection start(
            NetSocket socket,
            PeerIdentity identity,
            WireStats stats,
            SendQueueBudget sendBudget,
            boolean acceptor,
            Listener listener) {
        PeerConnection connection = new PeerConnection(socket, identity, stats, sendBudget, acceptor, listener);
        socket.handler(connection::receive);
        socket.exceptionHandler(error -> connection.close("connection failed: " + error.getMessage()));
        socket.closeHandler(ignored -> connection.markClosed());
        if (acceptor) {
            var unused = connection.write(connection.channel.sealHello());
        }
        return connection;
    }

    boolean isOpen() {
        return channel.isOpen() && !closed;
    }

    boolean wasOpened() {
        return channel.isOpen();
    }

    Peer peer() {
        return channel.remotePeer();
    }

    long lastUseNanos() {
        return lastUseNanos;
    }

    @Override
    public boolean send(PeerMessage message) {
        if (!isOpen()) {
            stats.recordDroppedMessage();
            return false;
        }
        byte[] body = FrameCodec.encode(message, identity.clock().tick());
        boolean isQueued = queuedBytes + body.length <= MAX_QUEUED_BYTES && sendBudget.tryAcquire(body.length);
        if (!isQueued) {
            stats.recordDroppedMessage();
            return false;
        }
        write(channel.seal(body)).onComplete(ignored -> sendBudget.release(body.length));
        return true;
    }

    void close(String reason) {
        if (!closed) {
            LOG.info("[wire] closed connection to {}: {}", socket.remoteAddress(), reason);
            socket.close();
            markClosed();
        }
    }

    /** Closes without a log line; for connections that end normally. */
    void closeQuietly() {
        if (!closed) {
            socket.close();
            markClosed();
        }
    }

    private void receive(Buffer buffer) {
        if (closed) {
            return;
        }
        stats.recordReceivedBytes(buffer.length());
        lastUseNanos = System.nanoTime();
        try {
            boolean wasOpen = channel.isOpen();
            channel.receive(buffer.getBytes(), this::deliver);
            if (!wasOpen && channel.isOpen() && !closed) {
                completeHandshake();
            }
        } catch (FigspanException e) {
            stats.recordRefusedFrame();
            close(e.detail());
        }
    }

    private void completeHandshake() {
        if (!acceptor) {
            var unused = write(channel.sealHello());
        }
        stats.recordOpenedConnection();
        listener.opened(this);
    }

    private void deliver(byte[] body) {
        FrameCodec.Decoded decoded = FrameCodec.decode(body);
        identity.clock().observe(decoded.timestamp());
        stats.recordReceivedFrames(1);
        if (!closed) {
            listener.received(this, new ReceivedMessage(peer(), decoded.timestamp(), decoded.message(), this));
        }
    }

    private Future<Void> write(byte[] frame) {
        queuedBytes += frame.length;
        stats.recordSentFrame(frame.length);
        lastUseNanos = System.nanoTime();
        return socket.write(Buffer.buffer(frame)).onComplete(ignored -> queuedBytes -= frame.length);
    }

    private void markClosed() {
        if (!closed) {
            closed = true;
            listener.closed(this);
        }
    }
}
