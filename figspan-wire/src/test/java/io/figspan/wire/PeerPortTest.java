package io.figspan.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.time.HybridClock;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against invalid bytes on one connection affecting other connections, and against requests that never end. */
class PeerPortTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int TIMEOUT_SECONDS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final WireStats serverStats = new WireStats();
    private final SendQueueBudget serverBudget = new SendQueueBudget(1_000);
    private PeerServer server;
    private Disposable echoSubscription;
    private PeerClient client;
    private PeerAddress serverAddress;

    @BeforeEach
    void start() {
        server = new PeerServer(vertx, vertx.getOrCreateContext(), identity("server"), serverStats, serverBudget);
        echoSubscription = server.inbound().subscribe(PeerPortTest::echo);
        assertTrue(server.listen(LOOPBACK, 0).blockingAwait(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        serverAddress = new PeerAddress(LOOPBACK, server.actualPort());
        client = new PeerClient(
                vertx,
                vertx.getOrCreateContext(),
                identity("client"),
                new WireStats(),
                new SendQueueBudget(),
                new Random(1));
    }

    @AfterEach
    void stop() {
        assertTrue(client.close().blockingAwait(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertTrue(server.close().blockingAwait(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        echoSubscription.dispose();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void aRequestGetsTheOutcomeWithItsOwnCorrelationId() {
        for (String body : new String[] {"one", "two"}) {
            assertEquals(body, new String(forward(body).body().toArray(), StandardCharsets.UTF_8));
        }
    }

    @Test
    void invalidBytesCloseOnlyTheirOwnConnection() throws IOException {
        forward("before");
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.actualPort())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            byte[] invalidBytes = new byte[10_000];
            new Random(2).nextBytes(invalidBytes);
            socket.getOutputStream().write(invalidBytes);
            readUntilClosed(socket);
        }
        assertEquals(1, serverStats.snapshot().refusedFrames());
        assertEquals("after", new String(forward("after").body().toArray(), StandardCharsets.UTF_8));
        assertEquals(1, serverStats.snapshot().openedConnections());
    }

    @Test
    void whatIsSentLeavesTheBudgetAndAnythingAboveItIsDropped() {
        for (int message = 0; message < 20; message++) {
            forward("a message of which twenty exceed the budget together, so that each one must be released");
        }
        assertEquals(0, serverStats.snapshot().droppedMessages());

        assertThrows(
                FigspanException.class, () -> client.request(serverAddress, id -> order(id, "x".repeat(2_000)), 200)
                        .blockingGet());
        assertEquals(1, serverStats.snapshot().droppedMessages());
    }

    @Test
    void aRequestToAnAddressWithoutAListenerFailsAsUnreachable() {
        PeerAddress unusedAddress = new PeerAddress(LOOPBACK, 1);
        FigspanException failure =
                assertThrows(FigspanException.class, () -> client.request(unusedAddress, id -> order(id, "x"), 200)
                        .blockingGet());
        assertEquals(ProblemKind.OWNER_UNREACHABLE, failure.kind());
    }

    private PeerMessage.OrderOutcome forward(String body) {
        return client.request(serverAddress, id -> order(id, body), TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS))
                .blockingGet();
    }

    private static PeerMessage.ForwardOrder order(long correlationId, String body) {
        Bytes bytes = Bytes.wrap(body.getBytes(StandardCharsets.UTF_8));
        return new PeerMessage.ForwardOrder(correlationId, "ticket", "org", "request", 1_000, bytes);
    }

    private static void echo(ReceivedMessage inbound) {
        if (inbound.message() instanceof PeerMessage.ForwardOrder order) {
            inbound.link().send(new PeerMessage.OrderOutcome(order.correlationId(), 200, "text/plain", order.body()));
        }
    }

    private static void readUntilClosed(Socket socket) throws IOException {
        try {
            socket.getInputStream().readAllBytes();
        } catch (SocketException reset) {
            assertEquals("Connection reset", reset.getMessage());
        }
    }

    private static PeerIdentity identity(String host) {
        Peer self = new Peer(
                new HostIncarnation(HostId.of(host), 1), AvailabilityZoneId.of("az1"), new PeerAddress(LOOPBACK, 7000));
        PeerKey key = PeerKey.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8));
        return new PeerIdentity(self, key, new HybridClock(System::currentTimeMillis));
    }
}
