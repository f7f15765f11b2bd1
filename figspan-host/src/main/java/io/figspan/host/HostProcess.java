package io.figspan.host;

import com.codahale.metrics.MetricRegistry;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.control.lifecycle.HostLifecycle;
import io.figspan.control.lifecycle.HostState;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.event.Part;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.time.HybridClock;
import io.figspan.core.time.MonotonicClock;
import io.figspan.host.backend.BackendTable;
import io.figspan.host.backend.EngineClient;
import io.figspan.host.backend.HoldDriver;
import io.figspan.host.backend.ReportPoller;
import io.figspan.host.entry.EntryDirectory;
import io.figspan.host.entry.EntryServer;
import io.figspan.host.entry.LimitGate;
import io.figspan.host.operator.OperatorServer;
import io.figspan.host.operator.Timeline;
import io.figspan.host.order.OrderService;
import io.figspan.host.platform.FleetListPoller;
import io.figspan.host.platform.PeerDriver;
import io.figspan.host.platform.SettingsInForce;
import io.figspan.host.steward.StewardDriver;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.settings.FleetList;
import io.figspan.settings.SettingsHolder;
import io.figspan.settings.cfg.HostConfig;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One {@code figspand} process: wires its parts on one event loop, starts them and shuts them down. */
public final class HostProcess {
    private static final Logger LOG = LoggerFactory.getLogger(HostProcess.class);
    private static final String PREFIX = Part.ENTRY.logPrefix();
    private static final long TICK_MS = 50;

    /** Speed that predictions use until settings are in force; the defaults of the settings. */
    private static final EngineSpeed DEFAULT_SPEED = new EngineSpeed(40_000, 512, 30_000_000, 400_000);

    private final HostContext context;
    private final EntryDirectory directory;
    private final LimitGate limits;
    private final PeerDriver peers;
    private final OrderService orders;
    private final EntryServer entry;
    private final OperatorServer operator;
    private final HostLifecycle lifecycle;
    private final Promise<Void> stopped = Promise.promise();
    /** State that the last tick saw; other events change the state between ticks. */
    private HostState tickedState = HostState.STARTING;

    private int callerPort;
    private int operatorPort;

    private HostProcess(HostContext context, EntryServer.Limits entryLimits) {
        this.context = context;
        this.directory = new EntryDirectory(context);
        this.limits = new LimitGate(context, entryLimits.shareWaitNanos());
        this.orders = new OrderService(context, this::forwardOrder);
        SettingsInForce adopter = new SettingsInForce(context, this::onSettings);
        this.peers = new PeerDriver(context, limits, directory, adopter, orders, this::onSuperseded);
        this.entry = new EntryServer(context, entryLimits, directory, orders, limits, peers, this::endsInTime);
        this.operator = new OperatorServer(context, this::gauges);
        this.operator.setMembers(
                () -> peers.node().view().live().stream().map(Peer::toString).toList());
        this.lifecycle = new HostLifecycle(
                TimeUnit.SECONDS.toMillis(context.config().shutdownMarginSeconds()),
                TimeUnit.SECONDS.toMillis(context.config().shutdownGraceSeconds()));
    }

    /** Creates a process with one event loop: at 15 requests per second and host, one core is enough. */
    public static Future<HostProcess> create(HostConfig config, EntryServer.Limits limits) {
        RxJavaPlugins.setErrorHandler(cause -> LOG.debug("error after the end of a stream", cause));
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(2));
        HostIncarnation incarnation = new HostIncarnation(config.hostId(), System.currentTimeMillis());
        BackendTable backends = new BackendTable(config.hostId(), DEFAULT_SPEED);
        MetricRegistry metrics = new MetricRegistry();
        EngineClient engines = new EngineClient(vertx, backends, metrics);
        Timeline timeline = new Timeline(config.hostId(), new HybridClock(System::currentTimeMillis));
        HostContext context = new HostContext(
                config,
                incarnation,
                vertx,
                MonotonicClock.system(),
                RandomGenerator.getDefault(),
                new SettingsHolder(),
                timeline,
                metrics,
                backends,
                engines,
                new HoldDriver(incarnation, backends, engines, timeline),
                new AtomicLong());
        Promise<HostProcess> created = Promise.promise();
        vertx.runOnContext(nothing -> created.complete(new HostProcess(context, limits)));
        return created.future();
    }

    public HostContext context() {
        return context;
    }

    public int callerPort() {
        return callerPort;
    }

    public int operatorPort() {
        return operatorPort;
    }

    /** Starts all parts; the future completes when the ports are open. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        context.vertx().runOnContext(nothing -> startOnLoop().onComplete(started));
        return started.future();
    }

    private Future<Void> startOnLoop() {
        context.holds().start(context.vertx());
        context.backends().setGoneListener(context.holds()::onEngineGone);
        new ReportPoller(context.backends(), context.engines(), context.holds(), this::newestProcesses)
                .start(context.vertx());
        context.config().hostList().ifPresent(platform -> new FleetListPoller(context, platform, this::onFleetList)
                .start());
        new StewardDriver(context, this::stewardMembership).start();
        context.vertx().setPeriodic(TICK_MS, id -> tick());
        Promise<Void> peersStarted = Promise.promise();
        var unused = peers.start().subscribe(peersStarted::complete, peersStarted::fail);
        return peersStarted
                .future()
                .compose(nothing -> operator.listen())
                .compose(port -> {
                    operatorPort = port;
                    return entry.listen();
                })
                .map(port -> {
                    callerPort = port;
                    LOG.info(
                            "{} host {} serves callers on {}:{} and operators on port {}",
                            PREFIX,
                            context.incarnation(),
                            context.config().bindAddress(),
                            callerPort,
                            operatorPort);
                    return null;
                });
    }

    /** Takes over the platform's list. */
    public void onFleetList(FleetList list) {
        directory.update(list.hosts());
        context.backends().update(list.backendServers());
    }

    /**
     * Shuts down without cutting off a request: leaves the entry list, serves on for as long as callers may keep a list
     * plus a margin, then refuses new requests and finishes those in flight. What can't end within the grace time gets
     * a final answer before the kill. The future completes at the end.
     */
    public Future<Void> shutDown() {
        context.vertx().runOnContext(nothing -> {
            LOG.info("{} host {} leaves the entry list", PREFIX, context.incarnation());
            lifecycle.onShutdown(context.config().keepSeconds(), context.nowNanos());
            directory.leave();
            peers.node().announceLeave();
        });
        return stopped.future();
    }

    /** Closes all ports at once, as after a crash. For tests. */
    public Future<Void> close() {
        return context.vertx().close();
    }

    // Events

    private int inFlight() {
        return entry.inFlight() + orders.inFlight();
    }

    private boolean endsInTime(long boundMs) {
        return lifecycle.endsInTime(boundMs, inFlight(), context.nowNanos());
    }

    private void tick() {
        HostState now = lifecycle.onTick(inFlight(), context.nowNanos());
        if (now == tickedState) {
            return;
        }
        tickedState = now;
        LOG.info("{} host {} is {}", PREFIX, context.incarnation(), now.name().toLowerCase(Locale.ROOT));
        if (!lifecycle.takesNewWork()) {
            orders.drain();
            entry.refuseNew();
        }
        if (now == HostState.ENDING || now == HostState.STOPPED) {
            orders.endAll();
            entry.endAll();
        }
        if (now == HostState.STOPPED) {
            closePorts();
        }
    }

    /** Closes all ports; a connection that does not close is given up when the process has to exit. */
    private void closePorts() {
        context.vertx().setPeriodic(TICK_MS, id -> {
            if (lifecycle.mustExit(context.nowNanos())) {
                stopped.tryComplete();
            }
        });
        entry.close().compose(closed -> operator.close()).onComplete(closed -> {
            var unused = peers.node().close().onErrorComplete().subscribe(() -> context.vertx()
                    .close()
                    .onComplete(ended -> stopped.tryComplete()));
        });
    }

    private Single<PeerMessage.OrderOutcome> forwardOrder(
            HostIncarnation owner, LongFunction<PeerMessage> message, long timeoutMs) {
        return peers.addressOf(owner)
                .map(address -> peers.node().request(address, message, timeoutMs))
                .orElseGet(() -> Single.error(new FigspanException(
                        ProblemKind.OWNER_UNREACHABLE,
                        "no address of " + owner + " is known",
                        Location.of("order forwarder"))));
    }

    private void onSettings() {
        limits.reconfigure();
        lifecycle.onSettingsReady();
    }

    private void onSuperseded() {
        LOG.error(
                "{} another process has taken over seat {}",
                PREFIX,
                context.config().hostId());
        directory.leave();
        entry.refuseNew();
    }

    private Map<HostId, HostIncarnation> newestProcesses() {
        Map<HostId, HostIncarnation> newest = new HashMap<>();
        for (Peer peer : peers.node().view().live()) {
            newest.put(peer.host(), peer.incarnation());
        }
        return newest;
    }

    /** The view is old while this process has heard from no peer for a while, so that it gives no model orders. */
    private StewardDriver.Membership stewardMembership() {
        Set<HostId> live = new TreeSet<>();
        live.add(context.config().hostId());
        peers.node().view().live().forEach(peer -> live.add(peer.host()));
        long nowNanos = context.nowNanos();
        long atNanos = peers.node().mayUseOwnShare() ? nowNanos : nowNanos - TimeUnit.HOURS.toNanos(1);
        return new StewardDriver.Membership(List.copyOf(live), atNanos);
    }

    private OperatorServer.Gauges gauges() {
        boolean ready = lifecycle.state() == HostState.SERVING
                && limits.isOpen()
                && context.backends().engines().stream().anyMatch(BackendTable.Server::hasReported);
        return new OperatorServer.Gauges(
                lifecycle.state().name().toLowerCase(Locale.ROOT), ready, entry.inFlight(), entry.queued());
    }
}
