package io.figspan.host.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.loan.LimitShares;
import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.time.HybridClock;
import io.figspan.core.time.HybridTimestamp;
import io.figspan.core.time.MonotonicClock;
import io.figspan.core.util.FreePorts;
import io.figspan.wire.PeerKey;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a driver that does not carry out what the protocols ask, over real loopback sockets. */
class PeerNodeTest {
    private static final int LIMIT_SECONDS = 30;
    private static final long SKEW_MS = 30_000;
    private static final int LARGE_PART_BYTES = 900_000;
    private static final PeerKey KEY = PeerKey.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8));

    private final Vertx vertx = Vertx.vertx();
    private final BehaviorProcessor<SettingsContent> published = BehaviorProcessor.create();
    private final List<Started> nodes = new ArrayList<>();

    /** One node and the queues that its callbacks fill. */
    private final class Started implements PeerNodeListener, LimitShares, OrderHandler, ConfigurationSource {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        private final PeerAddress address;
        private final PeerNode node;
        private final HybridClock timestamps;

        Started(String host, PeerAddress address, List<PeerAddress> seeds) {
            this.address = address;
            long skewMs = "a".equals(host) ? SKEW_MS : 0;
            this.timestamps = new HybridClock(() -> System.currentTimeMillis() + skewMs);
            Peer self = new Peer(new HostIncarnation(HostId.of(host), 1), AvailabilityZoneId.of("az1"), address);
            PeerNode.NodeServices services = new PeerNode.NodeServices(this, this::adopt, this, this, this);
            node = new PeerNode(
                    vertx,
                    vertx.getOrCreateContext(),
                    PeerNodeConfig.of(self, seeds, KEY),
                    services,
                    MonotonicClock.system(),
                    timestamps,
                    new SplittableRandom(host.hashCode()));
            assertTrue(node.start().blockingAwait(LIMIT_SECONDS, TimeUnit.SECONDS));
        }

        void await(String event) {
            try {
                String next = events.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
                while (next != null && !next.equals(event)) {
                    next = events.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
                }
                assertEquals(event, next);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void memberChanged(Peer peer, boolean live) {
            events.add(peer.host() + (live ? " live" : " gone"));
        }

        @Override
        public void backendLeaving(BackendIncarnation backend) {
            events.add(backend + " leaving");
        }

        private Single<Boolean> adopt(SettingsContent content) {
            events.add("version " + content.version());
            return Single.just(true);
        }

        @Override
        public Single<PeerMessage.OrderOutcome> forwarded(Peer from, PeerMessage.ForwardOrder order) {
            return Single.just(new PeerMessage.OrderOutcome(
                    order.correlationId(), 201, from.host().value(), order.body()));
        }

        @Override
        public Single<PeerMessage.OrderOutcome> outcome(Peer from, PeerMessage.OutcomeQuery query) {
            return Single.error(new IllegalStateException("the handler failed"));
        }

        @Override
        public double ownTokensPerSecond(OrganisationId organisation, long nowNanos) {
            return 0;
        }

        @Override
        public double usedTokensPerSecond(OrganisationId organisation, long nowNanos) {
            return 0;
        }

        @Override
        public Maybe<SettingsContent> read() {
            return Maybe.empty();
        }

        @Override
        public Flowable<SettingsContent> watch() {
            return published;
        }
    }

    @AfterEach
    void stop() {
        nodes.forEach(started -> assertTrue(started.node.close().blockingAwait(LIMIT_SECONDS, TimeUnit.SECONDS)));
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void nodesFindEachOtherPassOnSettingsNoticesAndOrdersAndNoticeALeave() throws IOException {
        start(4);
        Started last = nodes.get(3);
        List.of("a live", "b live", "c live")
                .forEach(event -> nodes.get(3).events.remove(event));
        published.onNext(SettingsContent.of(
                new SettingsVersion(7), Map.of("fleet", Bytes.wrap("x = 1".getBytes(StandardCharsets.UTF_8)))));
        nodes.forEach(started -> started.await("version 7"));
        nodes.get(1).node.backendLeaving(new BackendIncarnation(BackendServerId.of("engine"), 3));
        nodes.forEach(started -> started.await("engine@3 leaving"));
        HybridTimestamp beforeRequest = nodes.get(0).timestamps.tick();
        PeerMessage.OrderOutcome outcome = nodes.get(0)
                .node
                .request(last.address, id -> new PeerMessage.ForwardOrder(id, "t", "o", "r", 900, Bytes.EMPTY), 9_000)
                .blockingGet();
        assertEquals("a", outcome.contentType());
        // Guards against a time line that shows an effect before its cause when the wall clocks of hosts differ.
        assertTrue(last.timestamps.tick().compareTo(beforeRequest) > 0);
        assertTrue(last.node.leave().blockingAwait(LIMIT_SECONDS, TimeUnit.SECONDS));
        nodes.get(0).await("d gone");
        assertFalse(nodes.get(0).node.view().liveAt(HostId.of("d")).isPresent());
    }

    /** Guards against parts that pass in simulation but not in the frames between hosts. */
    @Test
    void aPartOfManyChunksReachesAllNodes() throws IOException {
        start(4);
        byte[] part = new byte[LARGE_PART_BYTES];
        new SplittableRandom(1).nextBytes(part);
        published.onNext(SettingsContent.of(new SettingsVersion(7), Map.of("large", Bytes.wrap(part))));
        nodes.forEach(started -> started.await("version 7"));
    }

    private void start(int count) throws IOException {
        List<PeerAddress> addresses = new ArrayList<>();
        for (int port : FreePorts.pick("127.0.0.1", count)) {
            addresses.add(new PeerAddress("127.0.0.1", port));
        }
        for (int i = 0; i < count; i++) {
            String host = String.valueOf((char) ('a' + i));
            nodes.add(new Started(host, addresses.get(i), addresses.subList(0, 1)));
        }
    }
}
