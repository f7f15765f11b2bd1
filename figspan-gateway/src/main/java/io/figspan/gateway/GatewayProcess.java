package io.figspan.gateway;

import io.figspan.core.event.Part;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.time.MonotonicClock;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.HttpEngineClient;
import io.figspan.gateway.backend.MemoryHolds;
import io.figspan.gateway.caller.CallerServer;
import io.figspan.gateway.fleet.FleetState;
import io.figspan.gateway.forward.Forwarder;
import io.figspan.gateway.forward.RequestCrashes;
import io.figspan.gateway.forward.RequestLimits;
import io.figspan.gateway.forward.ServiceDispatchers;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.log.UnexpectedErrors;
import io.figspan.gateway.metrics.Activity;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.metrics.ProcessorTime;
import io.figspan.gateway.peer.CopyEndpoint;
import io.figspan.gateway.peer.CopyReader;
import io.figspan.gateway.peer.PeerTracker;
import io.figspan.gateway.protocol.ProtocolAdapter;
import io.figspan.gateway.store.PrefixListeners;
import io.figspan.gateway.store.StoreWatcher;
import io.figspan.settings.gateway.GatewaySettings;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.LoggerFactory;

/** The gateway of one host: creates its components and connects them. Everything runs on one event loop. */
public final class GatewayProcess implements FleetState.FleetListener {
    /** Interval of checks of waiting requests and time limits. */
    private static final long TICK_MS = 40;

    /** Interval of checks during a planned stop; a task of its own, so that no fault of another one delays it. */
    private static final long SHUTDOWN_TICK_MS = 20;

    /** Interval of checks for a changed configuration. */
    private static final long RELOAD_INTERVAL_MS = 1_000;

    /** Interval of decisions whether this host watches the store. */
    private static final long WATCH_UPDATE_INTERVAL_MS = 200;

    /** Interval of log lines with the processor time by activity. */
    private static final long PROCESSOR_TIME_INTERVAL_MS = 5_000;

    /** Longest wait for the event loop to begin the shutdown. */
    private static final long STOP_TIMEOUT_MS = 500;

    /** Names of the copies of the store's items. */
    private static final String SETTINGS_COPY = "settings";

    private static final String SERVERS_COPY = "servers";

    private final GatewayConfig config;
    private final ProtocolAdapter adapter;
    private final RandomGenerator random;
    private final EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("gateway")).next();
    private final DecisionLog log = new DecisionLog();
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final UnexpectedErrors errors = new UnexpectedErrors(log, metrics);
    private final BackendPools pools = new BackendPools(loop, log);
    private final MemoryHolds holds;
    private final FleetState fleet;
    private final RequestCrashes requestCrashes;
    private final RequestLimits requestLimits;
    private final ServiceDispatchers dispatchers;
    private final Forwarder forwarder;
    private final CallerServer callers;
    private final PeerTracker peers;
    private final CopyReader settingsReader;
    private final CopyReader serversReader;
    private final Shutdown shutdown;
    private final ConfigReloader reloader;
    private final StoreWatchers storeWatchers;
    private final AuxiliaryEndpoints endpoints;

    public GatewayProcess(ConfigSource source, ProtocolAdapter adapter, RandomGenerator random) {
        this.config = source.read();
        this.adapter = adapter;
        this.random = random;
        HostIncarnation self = new HostIncarnation(config.host(), System.currentTimeMillis());
        HttpEngineClient engines = new HttpEngineClient(loop, pools, adapter.backends());
        this.holds = new MemoryHolds(engines, log, self, MonotonicClock.system());
        this.fleet = new FleetState(adapter.fleet(), pools, log, this, System::nanoTime);
        this.requestCrashes = new RequestCrashes(config.host(), log, metrics);
        this.requestLimits = new RequestLimits(config.host(), pools, log, metrics, random);
        this.dispatchers =
                new ServiceDispatchers(config.host(), pools, metrics, random, requestLimits, retryAllowance(config));
        this.forwarder = new Forwarder(
                loop,
                adapter.callers(),
                adapter.backends(),
                pools,
                holds,
                log,
                metrics,
                random,
                requestCrashes,
                requestLimits,
                dispatchers);
        this.callers = new CallerServer(loop, forwarder, adapter.callers(), errors);
        this.storeWatchers = new StoreWatchers(config.host(), log);
        PeerEvents events = new PeerEvents(fleet, pools, dispatchers, requestCrashes, requestLimits, storeWatchers);
        this.peers = new PeerTracker(loop, config, log, random, events, events, metrics.processorTime());
        this.requestCrashes.setSender(peers);
        this.requestLimits.setSender(peers);
        this.requestLimits.coldServers().setBound(config.coldBound());
        this.forwarder.setFairBetweenOrganisations(config.isFairBetweenOrganisations());
        requireKeysIf(config.requiresKeys());
        this.dispatchers.onWorkChanged(peers::workChanged);
        this.forwarder.setWorkViewAge(() -> peers.oldestReportAgeMs(System.nanoTime()));
        this.settingsReader = new CopyReader(
                loop,
                log,
                metrics,
                SETTINGS_COPY,
                config.copies().getPort(),
                fleet.settings(),
                fleet::applyPeerSettings,
                storeWatchers::isWatching,
                random);
        this.serversReader = new CopyReader(
                loop,
                log,
                metrics,
                SERVERS_COPY,
                config.copies().getPort(),
                fleet.servers(),
                fleet::applyPeerServers,
                storeWatchers::isWatching,
                random);
        events.connect(peers, settingsReader, serversReader);
        this.forwarder.setSettingsOutdated(settingsReader::isBehind);
        CopyEndpoint copies =
                new CopyEndpoint(Map.of(SETTINGS_COPY, fleet.settings(), SERVERS_COPY, fleet.servers()), metrics);
        this.endpoints = new AuxiliaryEndpoints(config, adapter.operator(), peers, copies, metrics, this::isReady);
        this.shutdown =
                new Shutdown(log, errors, callers, forwarder, peers::leave, holds::openCount, config.shutdownGraceMs());
        this.reloader = new ConfigReloader(source, config, log, this::configChanged);
    }

    /**
     * Opens the ports and starts watching the store.
     *
     * @param callerPort the bound port for callers
     */
    public void start(ServerSocketChannel callerPort) {
        log.info(Part.ENTRY, "started").text("host", config.host()).write();
        callers.serve(callerPort).syncUninterruptibly();
        peers.listen().syncUninterruptibly();
        endpoints.listen(loop);
        registerGauges();
        watchStore();
        scheduleRepeatedly(TICK_MS, () -> metrics.processorTime().measure(Activity.TIMERS, this::tick));
        scheduleRepeatedly(SHUTDOWN_TICK_MS, () -> shutdown.tick(System.nanoTime()));
        scheduleRepeatedly(WATCH_UPDATE_INTERVAL_MS, this::updateWatching);
        scheduleRepeatedly(RELOAD_INTERVAL_MS, () -> ifRunning(reloader::tick));
        scheduleRepeatedly(PROCESSOR_TIME_INTERVAL_MS, this::logProcessorTime);
    }

    private void scheduleRepeatedly(long intervalMs, Runnable action) {
        Runnable guarded = new GuardedTask(action, errors);
        var unused = loop.scheduleWithFixedDelay(guarded, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    /** The configuration in force at the start. */
    public GatewayConfig config() {
        return config;
    }

    /** Reads the configuration again, unless this host stops. */
    public void reload() {
        loop.execute(new GuardedTask(() -> ifRunning(() -> reloader.reload("reload was requested")), errors));
    }

    private void ifRunning(Runnable action) {
        if (!shutdown.hasBegun()) {
            action.run();
        }
    }

    private void configChanged(GatewayConfig changed) {
        storeWatchers.setAddress(changed.store());
        dispatchers.setRetryBudget(retryAllowance(changed));
        requestLimits.coldServers().setBound(changed.coldBound());
        forwarder.setFairBetweenOrganisations(changed.isFairBetweenOrganisations());
        requireKeysIf(changed.requiresKeys());
        shutdown.setGraceMs(changed.shutdownGraceMs());
    }

    private void requireKeysIf(boolean requiresKeys) {
        if (requiresKeys) {
            forwarder.requireKeys();
        }
    }

    private static ServiceDispatchers.RetryBudgetConfig retryAllowance(GatewayConfig config) {
        return new ServiceDispatchers.RetryBudgetConfig(
                config.retryFraction(), config.retryAllowance(), config.retryWindowMs());
    }

    /**
     * Begins a graceful shutdown: stops taking requests and finishes those in progress. When the method returns, this
     * host is no longer ready, unless its event loop is blocked.
     *
     * @return opens when the process may exit
     */
    public CountDownLatch stop() {
        return stop(System.nanoTime());
    }

    /**
     * Like {@link #stop()}, for a signal that came earlier.
     *
     * @param signalNanos monotonic time of the signal, from which the grace period counts
     */
    public CountDownLatch stop(long signalNanos) {
        Future<?> shutdownBegun = loop.submit(() -> shutdown.begin(signalNanos));
        if (!shutdownBegun.awaitUninterruptibly(STOP_TIMEOUT_MS)) {
            LoggerFactory.getLogger(GatewayProcess.class).warn("the event loop did not begin the shutdown in time");
        }
        return shutdown.done();
    }

    /** Time from the begin of the shutdown until the process is killed. */
    public long shutdownGraceMs() {
        return shutdown.graceMs();
    }

    private void watchStore() {
        PrefixListeners listeners = new PrefixListeners();
        listeners.add(adapter.fleet().settingsPrefix(), fleet.settingsStoreListener());
        listeners.add(adapter.fleet().serversPrefix(), fleet.serversStoreListener());
        StoreWatcher watcher = new StoreWatcher(
                loop, config.store(), listeners.commonPrefix(), adapter.store(), listeners, log, random);
        storeWatchers.add(watcher);
        loop.execute(watcher::start);
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        forwarder.tick(nowNanos);
        holds.tick(nowNanos);
        fleet.tick();
        callers.tick(nowNanos);
        openWhenReady(nowNanos);
        peers.tick(nowNanos);
        dispatchers.setHostCount(peers.hostCount());
        if (!requestLimits.isEmpty()) {
            requestLimits.silentHostsChanged(peers.silentHosts(nowNanos));
        }
    }

    /** Decides whether to watch the store. A host that is not ready yet always watches it. */
    private void updateWatching() {
        if (!isReady()) {
            return;
        }
        long nowNanos = System.nanoTime();
        Set<HostId> cell = dispatchers.cellHosts();
        boolean needsStore = settingsReader.needsStore() || serversReader.needsStore();
        List<Long> sourceAgesMs = needsStore ? List.of() : peers.storeAgesMs(cell, nowNanos);
        storeWatchers.updateWatching(cell, sourceAgesMs, nowNanos);
    }

    private void openWhenReady(long nowNanos) {
        if (isReady()) {
            forwarder.open();
            peers.join(nowNanos);
        }
    }

    private void logProcessorTime() {
        DecisionLog.Line line = log.info(Part.ENTRY, "processorTime");
        ProcessorTime.ofProcessMs().ifPresent(spentMs -> line.number("processMs", spentMs));
        for (Activity activity : Activity.values()) {
            line.number(activity.wireName() + "Ms", metrics.processorTime().spentMs(activity));
        }
        line.write();
    }

    private boolean isReady() {
        return forwarder.hasSettings() && fleet.areServersLoaded() && !shutdown.hasBegun();
    }

    // Fleet state

    @Override
    public void onSettings(GatewaySettings settings) {
        forwarder.apply(settings);
        peers.itemsChanged();
        openWhenReady(System.nanoTime());
    }

    @Override
    public void onServersChanged() {
        dispatchers.serversChanged();
        peers.itemsChanged();
        openWhenReady(System.nanoTime());
    }

    @Override
    public void onZonesChanged() {
        dispatchers.zonesChanged();
        peers.itemsChanged();
    }

    private void registerGauges() {
        metrics.gauge("requests.waiting", dispatchers::waitingCount);
        metrics.gauge("connections.busy", callers::busy);
        metrics.gauge("zones.evacuated", () -> pools.evacuations().size());
        metrics.gauge("connections.open", callers::openConnections);
        metrics.gauge("clients.evicted", callers::evictions);
        metrics.gauge("bodies.counted.bytes", callers::countedBodyBytes);
        metrics.gauge("bodies.live.bytes", callers::liveBodyBytes);
        metrics.gauge("heads.awaiting.bytes", callers::countedHeadBytes);
        metrics.gauge("requests.waitingForSettings", forwarder::waitingForSettings);
        metrics.gauge("settings.version", () -> forwarder.settingsVersion().number());
        metrics.gauge("settings.outdated", () -> settingsReader.isBehind() ? 1 : 0);
        metrics.gauge("settings.revision", () -> fleet.settings().revision().number());
        metrics.gauge("servers.revision", () -> fleet.servers().revision().number());
        metrics.gauge("settings.epoch", () -> fleet.settings().revision().epoch());
        metrics.gauge("servers.epoch", () -> fleet.servers().revision().epoch());
        metrics.gauge("hosts.known", peers::hostCount);
        metrics.gauge("holds.open", holds::openCount);
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
