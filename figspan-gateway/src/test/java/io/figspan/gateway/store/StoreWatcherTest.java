package io.figspan.gateway.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.InvalidAnswers;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.http.SimpleHttpServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.StoreProtocol;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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

/** Runs a watcher that is paused and continued, against a store on loopback that records its calls. */
class StoreWatcherTest {
    private static final long LIMIT_S = 20;

    /** Longer than twenty versions of the largest item. */
    private static final int TOO_LONG_BYTES = 20 * 1_024 * 1_024;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<List<StoreProtocol.Item>> changes = new LinkedBlockingQueue<>();
    private final AtomicInteger listenerFailures = new AtomicInteger();
    private StoreWatcher watcher;
    private volatile String tooLongCall = "";
    private long revision = 10;

    /** Targets and bodies are plain text: the name of the call with its revision, and the revision of the store. */
    private static final class TextProtocol implements StoreProtocol {
        @Override
        public String rangeTarget(String prefix, String afterKey) {
            return "/range";
        }

        @Override
        public String watchTarget(String prefix, StoreRevision after, long waitMs) {
            return "/watch/" + after.number();
        }

        @Override
        public Page decodeRange(byte[] body, long epoch) {
            return page(body, epoch);
        }

        @Override
        public Page decodeWatch(byte[] body, long epoch) {
            return page(body, epoch);
        }

        private static Page page(byte[] body, long epoch) {
            long number = Long.parseLong(new String(body, StandardCharsets.US_ASCII));
            StoreRevision revision = new StoreRevision(epoch, number);
            return new Page(List.of(new Item("key", Optional.of(body), revision)), false, revision);
        }

        @Override
        public OptionalLong epoch(HttpResponse head) {
            return OptionalLong.empty();
        }

        @Override
        public int historyGoneStatus() {
            return HttpResponseStatus.GONE.code();
        }
    }

    private final class Listener implements StoreListener {
        @Override
        public void onSnapshot(List<StoreProtocol.Item> items, StoreRevision asOf) {
            if (listenerFailures.getAndDecrement() > 0) {
                throw new IllegalStateException("the listener failed");
            }
            changes.add(items);
        }

        @Override
        public void onChanged(List<StoreProtocol.Item> items) {
            changes.add(items);
        }

        @Override
        public void onLost() {
            changes.add(List.of());
        }
    }

    @BeforeEach
    void start() {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        InetSocketAddress store = (InetSocketAddress) SimpleHttpServer.listen(loop, anyPort, this::answer)
                .syncUninterruptibly()
                .channel()
                .localAddress();
        watcher = new StoreWatcher(
                loop, store, "", new TextProtocol(), new Listener(), new DecisionLog(), new SplittableRandom(1));
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private FullHttpResponse answer(HttpRequest request) {
        calls.add(request.uri());
        if (request.uri().equals(tooLongCall)) {
            byte[] body = new byte[TOO_LONG_BYTES];
            return new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
        }
        byte[] body = Long.toString(revision++).getBytes(StandardCharsets.US_ASCII);
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
    }

    private void onLoop(Runnable action) {
        loop.submit(action).syncUninterruptibly();
    }

    private String nextCall() throws InterruptedException {
        return calls.poll(LIMIT_S, TimeUnit.SECONDS);
    }

    /** Guards against hosts that stay on old settings, since the changes since then are too long to be read. */
    @Test
    void changesThatAreTooLongAreReplacedByAListing() throws Exception {
        tooLongCall = "/watch/10";
        onLoop(watcher::start);

        assertEquals("/range", nextCall());
        assertEquals("/watch/10", nextCall());
        assertEquals("/range", nextCall());
        assertEquals("/watch/11", nextCall());
        assertEquals(1, changes.take().size());
        assertEquals(1, changes.take().size());
    }

    @Test
    void aWatcherListsAllItemsAndThenWatchesForChanges() throws Exception {
        onLoop(watcher::start);

        assertEquals("/range", nextCall());
        assertEquals("/watch/10", nextCall());
        assertEquals("/watch/11", nextCall());
        onLoop(() -> assertTrue(watcher.lastResponseAgeMs(System.nanoTime()) >= 0));
    }

    @Test
    void aPausedWatcherIsNoSourceForOthersAndContinuesAfterTheLastReadRevision() throws Exception {
        onLoop(() -> {
            watcher.setWatching(false);
            watcher.start();
        });
        assertEquals("/range", nextCall());
        assertTrue(changes.poll(LIMIT_S, TimeUnit.SECONDS) != null, "the listener got no items");
        onLoop(() -> {
            assertEquals(-1, watcher.lastResponseAgeMs(System.nanoTime()));
            assertTrue(calls.isEmpty(), "a paused watcher called " + calls);
            watcher.setWatching(true);
        });

        assertEquals("/watch/10", nextCall());
    }

    static List<String> invalidAnswers() {
        return InvalidAnswers.withBody("99");
    }

    private void watch(ScriptedServer store) {
        StoreWatcher other = new StoreWatcher(
                loop,
                store.address(),
                "",
                new TextProtocol(),
                new Listener(),
                new DecisionLog(),
                new SplittableRandom(1));
        onLoop(other::start);
    }

    private String nextChange() throws InterruptedException {
        List<StoreProtocol.Item> next = changes.poll(LIMIT_S, TimeUnit.SECONDS);
        return next.isEmpty() ? "lost" : new String(next.get(0).value().orElseThrow(), StandardCharsets.US_ASCII);
    }

    /** Guards against items that were never in the store, and others that count as removed (issue 59). */
    @ParameterizedTest
    @MethodSource("invalidAnswers")
    void bytesThatAreNoResponseAreNoListing(String answer) throws Exception {
        try (ScriptedServer store = new ScriptedServer((request, connection) -> {
            calls.add(request.target());
            if (calls.size() == 1) {
                connection.write(answer);
                connection.close();
            } else {
                connection.answer(request, 200, "", "10");
            }
        })) {
            watch(store);
            assertEquals("lost", nextChange());
            assertEquals("10", nextChange());
        }
    }

    /** Guards against changes that the store has never sent (issue 59). */
    @ParameterizedTest
    @MethodSource("invalidAnswers")
    void bytesThatAreNoResponseAreNoChange(String answer) throws Exception {
        try (ScriptedServer store = new ScriptedServer((request, connection) -> {
            calls.add(request.target());
            if (calls.size() == 2) {
                connection.write(answer);
                connection.close();
            } else {
                connection.answer(request, 200, "", "1" + calls.size());
            }
        })) {
            watch(store);
            assertEquals("11", nextChange());
            assertEquals("lost", nextChange());
            assertEquals("13", nextChange());
        }
    }

    /** Guards against a host that stops following the store after an unexpected error. */
    @Test
    void theWatchGoesOnAfterAnUnexpectedErrorOfTheListener() throws Exception {
        listenerFailures.set(1);
        onLoop(watcher::start);

        assertEquals("/range", nextCall());
        assertTrue(changes.poll(LIMIT_S, TimeUnit.SECONDS) != null, "the listener got no notice of the failure");
        assertTrue(nextCall() != null, "no call after the error");
        assertTrue(nextCall() != null, "no call after the error");
    }
}
