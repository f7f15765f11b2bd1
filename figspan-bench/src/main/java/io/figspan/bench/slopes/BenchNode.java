package io.figspan.bench.slopes;

import io.figspan.cluster.loan.LimitShares;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.time.HybridClock;
import io.figspan.core.time.MonotonicClock;
import io.figspan.host.peer.ConfigurationSource;
import io.figspan.host.peer.OrderHandler;
import io.figspan.host.peer.PeerNode;
import io.figspan.host.peer.PeerNodeConfig;
import io.figspan.host.peer.PeerNodeListener;
import io.figspan.wire.PeerKey;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** One node over loopback sockets, with a configuration source in the process and the times of its adoptions. */
final class BenchNode implements ConfigurationSource, OrderHandler, LimitShares, PeerNodeListener {
    private static final int ZONES = 5;
    private static final String LOOPBACK = "127.0.0.1";
    private static final int LIMIT_SECONDS = 10;
    private static final PeerKey KEY = PeerKey.of("bench-key-of-16-bytes".getBytes(StandardCharsets.UTF_8));

    private final BehaviorProcessor<SettingsContent> published;
    private final Map<Long, Long> adoptedAtNanos = new ConcurrentHashMap<>();
    private final PeerNode node;

    BenchNode(Vertx vertx, int index, int basePort, BehaviorProcessor<SettingsContent> published) {
        this.published = published;
        Peer self = new Peer(
                new HostIncarnation(HostId.of("host-" + index), System.currentTimeMillis()),
                AvailabilityZoneId.of("az-" + index % ZONES),
                address(basePort, index));
        List<PeerAddress> seeds = List.of(address(basePort, 0), address(basePort, 1), address(basePort, 2));
        PeerNode.NodeServices services = new PeerNode.NodeServices(this, this::adopt, this, this, this);
        node = new PeerNode(
                vertx,
                vertx.getOrCreateContext(),
                PeerNodeConfig.of(self, seeds, KEY),
                services,
                MonotonicClock.system(),
                new HybridClock(System::currentTimeMillis),
                new SplittableRandom(index));
    }

    void start() {
        requireInTime(node.start().blockingAwait(LIMIT_SECONDS, TimeUnit.SECONDS));
    }

    void close() {
        requireInTime(node.close().blockingAwait(LIMIT_SECONDS, TimeUnit.SECONDS));
    }

    PeerNode node() {
        return node;
    }

    /** When this version came into force, on the machine's monotonic clock; null when it did not. */
    Long adoptedAtNanos(long version) {
        return adoptedAtNanos.get(version);
    }

    private Single<Boolean> adopt(SettingsContent content) {
        adoptedAtNanos.put(content.version().number(), System.nanoTime());
        return Single.just(true);
    }

    @Override
    public Maybe<SettingsContent> read() {
        return published.hasValue() ? Maybe.just(published.getValue()) : Maybe.empty();
    }

    @Override
    public Flowable<SettingsContent> watch() {
        return published;
    }

    @Override
    public Single<PeerMessage.OrderOutcome> forwarded(Peer from, PeerMessage.ForwardOrder order) {
        return Single.error(new IllegalStateException("the benchmark forwards no orders"));
    }

    @Override
    public Single<PeerMessage.OrderOutcome> outcome(Peer from, PeerMessage.OutcomeQuery query) {
        return Single.error(new IllegalStateException("the benchmark forwards no orders"));
    }

    @Override
    public double ownTokensPerSecond(OrganisationId organisation, long nowNanos) {
        return 0;
    }

    @Override
    public double usedTokensPerSecond(OrganisationId organisation, long nowNanos) {
        return 0;
    }

    private static PeerAddress address(int basePort, int index) {
        return new PeerAddress(LOOPBACK, basePort + index);
    }

    private static void requireInTime(boolean done) {
        if (!done) {
            throw new IllegalStateException("a node did not start or close within " + LIMIT_SECONDS + " s");
        }
    }
}
