package io.figspan.gateway;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.event.Part;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.work.PlacedRequest;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.MemoryHolds;
import io.figspan.gateway.caller.CallerServer;
import io.figspan.gateway.fleet.FleetState;
import io.figspan.gateway.forward.Forwarder;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.log.UnexpectedErrors;
import io.figspan.gateway.metrics.Activity;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.metrics.ProcessorTime;
import io.figspan.gateway.peer.CopyReader;
import io.figspan.gateway.peer.PeerListener;
import io.figspan.gateway.peer.Peers;
import io.figspan.gateway.peer.WorkSource;
import io.figspan.gateway.protocol.Adapter;
import io.figspan.gateway.store.StoreFollower;
import io.figspan.gateway.store.StoreListener;
import io.figspan.settings.gateway.GatewaySettings;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.LoggerFactory;

/** The gateway of one host. It runs on one event loop. */
public final class GatewayProcess implements FleetState.FleetListener, PeerListener, WorkSource {
    /** Time between two looks at waiting jobs and time limits. */
    private static final long TICK_MS = 40;

    /** Time between two looks at the source of the configuration. */
    private static final long RELOAD_INTERVAL_MS = 1_000;

    /** Time between two looks at whether this host has to follow the store. */
    private static final long FOLLOW_INTERVAL_MS = 200;

    /** Time between two log lines on what the processor's time was spent on. */
    private static final long PROCESSOR_TIME_INTERVAL_MS = 5_000;

    /** Longest wait for the event loop to take a stop. */
    private static final long STOP_PATIENCE_MS = 500;

    private final GatewayConfig config;
    private final Adapter adapter;
    private final RandomGenerator random;
    private final EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("gateway")).next();
    private final DecisionLog log = new DecisionLog();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final UnexpectedErrors errors = new UnexpectedErrors(log, metrics);
    private final BackendPools pools = new BackendPools(loop);
    private final MemoryHolds holds;
    private final FleetState fleet;
    private final Forwarder forwarder;
    private final CallerServer callers;
    private final Peers peers;
    private final CopyReader settingsReader;
    private final CopyReader serversReader;
    private final Shutdown shutdown;
    private final Reload reload;
    private final StoreFollowing store;
    private final SmallAnswers smallAnswers;
    private long reports;

    public GatewayProcess(ConfigSource source, Adapter adapter, RandomGenerator random) {
        this.config = source.read();
        this.adapter = adapter;
        this.random = random;
        HostIncarnation self = new HostIncarnation(config.host(), System.currentTimeMillis());
        this.holds = new MemoryHolds(loop, pools, adapter.backends(), log, self);
        this.fleet = new FleetState(adapter.fleet(), pools, log, this, System::nanoTime);
        this.forwarder = new Forwarder(
                loop,
                config.host(),
                adapter.callers(),
                adapter.backends(),
                pools,
                holds,
                log,
                metrics,
                random,
                allowanceOf(config));
        this.callers = new CallerServer(loop, forwarder, adapter.callers(), errors);
        this.peers = new Peers(loop, config, log, random, this, this, metrics.processorTime());
        this.forwarder.onWorkChanged(peers::workChanged);
        this.forwarder.viewsWorkThrough(() -> peers.oldestReportMs(System.nanoTime()));
        this.store = new StoreFollowing(config.host(), log);
        this.settingsReader = new CopyReader(
                loop, log, SmallAnswers.SETTINGS_COPY, fleet.settings(), fleet::settingsFromPeer, store::isFollowing);
        this.serversReader = new CopyReader(
                loop, log, SmallAnswers.SERVERS_COPY, fleet.servers(), fleet::serversFromPeer, store::isFollowing);
        this.smallAnswers = new SmallAnswers(config, adapter.operator(), peers, fleet, metrics, this::isReady);
        this.shutdown = new Shutdown(loop, log, callers, peers, config.stopMs());
        this.reload = new Reload(source, config, log, this::configChanged);
    }

    /**
     * Opens the ports and begins to follow the store.
     *
     * @param callerPort the open port for callers
     */
    public void start(ServerSocketChannel callerPort) {
        log.info(Part.ENTRY, "started").text("host", config.host()).write();
        callers.serve(callerPort).syncUninterruptibly();
        peers.listen().syncUninterruptibly();
        smallAnswers.listen(loop);
        registerGauges();
        follow(adapter.fleet().settingsPrefix(), fleet.settingsFromStore());
        follow(adapter.fleet().serversPrefix(), fleet.serversFromStore());
        every(TICK_MS, () -> metrics.processorTime().spend(Activity.TIMERS, this::tick));
        every(FOLLOW_INTERVAL_MS, this::reviewFollowing);
        every(RELOAD_INTERVAL_MS, reload::tick);
        every(PROCESSOR_TIME_INTERVAL_MS, this::tellOfProcessorTime);
    }

    private void every(long intervalMs, Runnable action) {
        Runnable guarded = new GuardedTask(action, errors);
        var unused = loop.scheduleWithFixedDelay(guarded, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    /** The configuration in force at the start. */
    public GatewayConfig config() {
        return config;
    }

    /** Reads the configuration again. */
    public void reload() {
        loop.execute(() -> reload.reload("the process was told to"));
    }

    private void configChanged(GatewayConfig changed) {
        store.moveTo(changed.store());
        forwarder.allowRetries(allowanceOf(changed));
        shutdown.stopWithin(changed.stopMs());
    }

    private static Forwarder.RetryAllowance allowanceOf(GatewayConfig config) {
        return new Forwarder.RetryAllowance(config.retryFraction(), config.retryAllowance(), config.retryWindowMs());
    }

    /**
     * Stops taking requests and finishes those in progress. This host is no longer ready when the method returns,
     * unless its event loop is stuck.
     *
     * @return opens when the process may end
     */
    public CountDownLatch stop() {
        Future<?> begun = loop.submit(() -> shutdown.begin(System.nanoTime()));
        if (!begun.awaitUninterruptibly(STOP_PATIENCE_MS)) {
            LoggerFactory.getLogger(GatewayProcess.class).warn("the event loop did not take the stop in time");
        }
        return shutdown.done();
    }

    private void follow(String prefix, StoreListener listener) {
        StoreFollower follower =
                new StoreFollower(loop, config.store(), prefix, adapter.store(), listener, log, random);
        store.add(follower);
        loop.execute(follower::start);
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        forwarder.tick(nowNanos);
        holds.tick(nowNanos);
        fleet.tick();
        callers.tick(nowNanos);
        shutdown.tick(nowNanos);
        openWhenKnown(nowNanos);
        peers.tick(nowNanos);
        forwarder.sharedBy(peers.hostCount());
    }

    /** A host that serves nobody yet follows the store in any case. */
    private void reviewFollowing() {
        if (!isReady()) {
            return;
        }
        long nowNanos = System.nanoTime();
        Set<HostId> cell = forwarder.cell();
        store.review(cell, peers.storeAgesMs(cell, nowNanos), nowNanos);
    }

    private void openWhenKnown(long nowNanos) {
        if (isReady()) {
            forwarder.open();
            peers.join(nowNanos);
        }
    }

    private void tellOfProcessorTime() {
        DecisionLog.Line line = log.info(Part.ENTRY, "processorTime");
        ProcessorTime.ofProcessMs().ifPresent(spentMs -> line.number("processMs", spentMs));
        for (Activity activity : Activity.values()) {
            line.number(activity.wireName() + "Ms", metrics.processorTime().spentMs(activity));
        }
        line.write();
    }

    private boolean isReady() {
        return forwarder.hasSettings() && fleet.areServersKnown() && !shutdown.hasBegun();
    }

    // Fleet

    @Override
    public void onSettings(GatewaySettings settings) {
        forwarder.apply(settings);
        peers.itemsChanged();
        callers.limitsChanged(settings.callerLimits());
        openWhenKnown(System.nanoTime());
    }

    @Override
    public void onServersChanged() {
        forwarder.serversChanged();
        peers.itemsChanged();
        openWhenKnown(System.nanoTime());
    }

    // Other hosts

    @Override
    public PeerMessage.WorkReport report() {
        return new PeerMessage.WorkReport(
                ++reports,
                fleet.settings().revision(),
                fleet.servers().revision(),
                store.answerAgeMs(System.nanoTime()),
                forwarder.ownWork());
    }

    @Override
    public Set<HostId> cell() {
        return forwarder.cell();
    }

    @Override
    public Set<HostId> audience(List<PlacedRequest> work) {
        return forwarder.audience(work);
    }

    @Override
    public void onHostsChanged(Set<HostId> hosts) {
        forwarder.hostsChanged(hosts);
    }

    @Override
    public void onWork(HostId host, List<PlacedRequest> work) {
        forwarder.peerWork(host, work);
    }

    @Override
    public void onHostGone(HostId host) {
        forwarder.peerWork(host, List.of());
    }

    @Override
    public void onNewerItems(Peer peer, long settingsRevision, long serversRevision) {
        InetSocketAddress address =
                new InetSocketAddress(peer.address().address(), config.copies().getPort());
        settingsReader.newerAt(address, settingsRevision);
        serversReader.newerAt(address, serversRevision);
    }

    private void registerGauges() {
        metrics.gauge("requests.waiting", forwarder::waiting);
        metrics.gauge("connections.busy", callers::busy);
        metrics.gauge("settings.version", () -> forwarder.settingsVersion().number());
        metrics.gauge("settings.revision", () -> fleet.settings().revision());
        metrics.gauge("servers.revision", () -> fleet.servers().revision());
        metrics.gauge("hosts.known", peers::hostCount);
        metrics.gauge("holds.open", holds::open);
        if (ProcessorTime.ofProcessMs().isPresent()) {
            metrics.gauge(
                    "processor.process.ms", () -> ProcessorTime.ofProcessMs().orElse(0));
        }
        ProcessorTime processorTime = metrics.processorTime();
        for (Activity activity : Activity.values()) {
            metrics.gauge("processor." + activity.wireName() + ".ms", () -> processorTime.spentMs(activity));
        }
    }
}
