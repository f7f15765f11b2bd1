package io.figspan.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.StoreRevision;
import io.figspan.core.util.FreePorts;
import io.figspan.gateway.InvalidAnswers;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.http.SimpleHttpServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.protocol.StoreProtocol.Item;
import io.figspan.gateway.store.ItemChanges;
import io.figspan.gateway.store.ItemCopy;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Reads copies from hosts on loopback. All hosts serve their copies on the same port. */
class CopyReaderTest {
    private static final StoreRevision FIVE = new StoreRevision(1, 5);
    private static final long TIMEOUT_S = 20;
    private static final String ONE = "127.0.2.1";
    private static final String TWO = "127.0.2.2";
    private static final byte[] ROUTES = "a route, ".repeat(50_000).getBytes(StandardCharsets.UTF_8);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final ItemCopy complete = new ItemCopy();
    private final CopyEndpoint endpoint = new CopyEndpoint(Map.of("settings", complete), new GatewayMetrics());
    private final ItemCopy copy = new ItemCopy();
    private final BlockingQueue<ItemChanges> changes = new LinkedBlockingQueue<>();
    private final AtomicInteger listenerFailures = new AtomicInteger();
    private int port;
    private CopyReader reader;

    @BeforeEach
    void start() throws IOException {
        port = FreePorts.pick(ONE, 1).get(0);
        complete.apply(List.of(new Item("key", Optional.of(ROUTES), FIVE)));
        reader = reader();
    }

    private CopyReader reader() {
        return new CopyReader(
                loop,
                new DecisionLog(),
                new GatewayMetrics(),
                "settings",
                port,
                copy,
                this::receive,
                () -> false,
                new SplittableRandom(1));
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void receive(ItemChanges received) {
        if (listenerFailures.getAndDecrement() > 0) {
            throw new IllegalStateException("the listener failed");
        }
        copy.applyChanges(received);
        changes.add(received);
    }

    private void serveCopies(String host) {
        SimpleHttpServer.listenWithReplies(loop, new InetSocketAddress(host, port), endpoint::reply)
                .syncUninterruptibly();
    }

    private void serveStatus(String host, HttpResponseStatus status) {
        SimpleHttpServer.listen(loop, new InetSocketAddress(host, port), request -> response(request, status))
                .syncUninterruptibly();
    }

    private static FullHttpResponse response(HttpRequest request, HttpResponseStatus status) {
        return new DefaultFullHttpResponse(request.protocolVersion(), status, Unpooled.EMPTY_BUFFER);
    }

    private static Peer peer(String address) {
        return new Peer(
                new HostIncarnation(HostId.of("host-" + address), 1),
                AvailabilityZoneId.of("zone"),
                new PeerAddress(address, 7_000));
    }

    private void announce(String... hosts) {
        loop.submit(() -> List.of(hosts).forEach(host -> reader.onPeerRevision(peer(host), FIVE)))
                .syncUninterruptibly();
    }

    private ItemChanges nextChanges() throws InterruptedException {
        ItemChanges next = changes.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertTrue(next != null, "no copy was read");
        return next;
    }

    @Test
    void aCompressedCopyOfAHostWithANewerRevisionIsRead() throws Exception {
        serveCopies(ONE);

        announce(ONE);

        assertArrayEquals(ROUTES, nextChanges().items().get(0).value().orElseThrow());
        loop.submit(() -> assertTrue(!reader.isBehind())).syncUninterruptibly();
    }

    /** Guards against waiting for one source while others have the copy. */
    @Test
    void aBusyHostIsFollowedByAnotherOne() throws Exception {
        serveStatus(ONE, HttpResponseStatus.SERVICE_UNAVAILABLE);
        serveCopies(TWO);

        announce(ONE, TWO);

        assertEquals(FIVE, nextChanges().revision());
    }

    @Test
    void aHostThatRefusesIsFollowedByAnotherOne() throws Exception {
        serveStatus(ONE, HttpResponseStatus.NOT_FOUND);
        serveCopies(TWO);

        announce(ONE, TWO);

        assertEquals(FIVE, nextChanges().revision());
    }

    static List<String> invalidAnswers() {
        Item wrong = new Item("key", Optional.of("no route".getBytes(StandardCharsets.UTF_8)), FIVE);
        byte[] encoded = new ItemChanges(FIVE, StoreRevision.NONE, List.of(wrong)).encode();
        return InvalidAnswers.withBody(new String(encoded, StandardCharsets.ISO_8859_1));
    }

    /** Guards against items that no host has, taken from bytes that are no response (issue 59). */
    @ParameterizedTest
    @MethodSource("invalidAnswers")
    void bytesThatAreNoResponseAreNoCopy(String answer) throws Exception {
        try (ScriptedServer host = new ScriptedServer((request, connection) -> {
            connection.write(answer);
            connection.close();
        })) {
            port = host.address().getPort();
            reader = reader();
            serveCopies(TWO);

            announce(host.address().getAddress().getHostAddress(), TWO);

            assertArrayEquals(ROUTES, nextChanges().items().get(0).value().orElseThrow());
            assertEquals(1, host.received().size());
        }
    }

    /** Guards against a reader that never reads again after an unexpected error. */
    @Test
    void anErrorOfTheListenerDoesNotStopLaterReads() throws Exception {
        listenerFailures.set(1);
        serveCopies(ONE);
        serveCopies(TWO);

        announce(ONE);
        announce(TWO);

        assertEquals(FIVE, nextChanges().revision());
    }
}
