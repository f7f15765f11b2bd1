package io.figspan.host;

import com.codahale.metrics.MetricRegistry;
import io.figspan.core.event.Part;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.time.HybridClock;
import io.figspan.core.time.MonotonicClock;
import io.figspan.host.backend.BackendTable;
import io.figspan.host.backend.EngineClient;
import io.figspan.host.backend.EngineSpeeds;
import io.figspan.host.backend.ReportPoller;
import io.figspan.host.entry.EntryDirectory;
import io.figspan.host.entry.EntryServer;
import io.figspan.host.operator.OperatorServer;
import io.figspan.host.operator.Timeline;
import io.figspan.host.platform.FleetListPoller;
import io.figspan.settings.FleetList;
import io.figspan.settings.SettingsHolder;
import io.figspan.settings.cfg.HostConfig;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One {@code figspand} process: wires its parts, starts them and shuts them down. */
public final class HostProcess {
    private static final Logger LOG = LoggerFactory.getLogger(HostProcess.class);

    private final HostContext context;
    private final EntryDirectory directory;
    private final EntryServer entry;
    private final OperatorServer operator;
    private String state = "starting";
    private int callerPort;
    private int operatorPort;

    private HostProcess(HostContext context, EntryServer.Limits limits) {
        this.context = context;
        this.directory = new EntryDirectory(context);
        this.entry = new EntryServer(context, limits, directory, null);
        this.operator = new OperatorServer(context, this::gauges);
    }

    /** Creates a process with one event loop: at 15 requests per second and host, one core is enough. */
    public static HostProcess create(HostConfig config, EntryServer.Limits limits) {
        RxJavaPlugins.setErrorHandler(cause -> LOG.debug("error after the end of a stream", cause));
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(2));
        HostIncarnation incarnation = new HostIncarnation(config.hostId(), System.currentTimeMillis());
        BackendTable backends = new BackendTable(EngineSpeeds.STAND_IN);
        HostContext context = new HostContext(
                config,
                incarnation,
                vertx,
                MonotonicClock.system(),
                RandomGenerator.getDefault(),
                new SettingsHolder(),
                new Timeline(config.hostId(), new HybridClock(System::currentTimeMillis)),
                new MetricRegistry(),
                backends,
                new EngineClient(vertx, backends),
                new AtomicLong());
        return new HostProcess(context, limits);
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

    public EntryServer entry() {
        return entry;
    }

    /** Starts all parts; the future completes when the ports are open. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        context.vertx().runOnContext(nothing -> startOnLoop().onComplete(started));
        return started.future();
    }

    private Future<Void> startOnLoop() {
        new ReportPoller(context.backends(), context.engines()).start(context.vertx());
        context.config().hostList().ifPresent(platform -> new FleetListPoller(context, platform, this::onFleetList)
                .start());
        return operator.listen()
                .compose(port -> {
                    operatorPort = port;
                    return entry.listen();
                })
                .map(port -> {
                    callerPort = port;
                    state = "serving";
                    LOG.info(
                            "{} host {} serves callers on {}:{} and operators on port {}",
                            Part.ENTRY.logPrefix(),
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
     * plus a margin, then refuses new requests and finishes those in flight.
     */
    public Future<Void> shutDown() {
        Promise<Void> done = Promise.promise();
        context.vertx().runOnContext(nothing -> {
            state = "leaving";
            LOG.info("{} host {} is leaving", Part.ENTRY.logPrefix(), context.incarnation());
            long serveOnMs = TimeUnit.SECONDS.toMillis(
                    context.config().keepSeconds() + (long) context.config().shutdownMarginSeconds());
            context.vertx().setTimer(Math.max(1, serveOnMs), id -> {
                state = "draining";
                entry.drain()
                        .compose(drained -> entry.close())
                        .compose(closed -> operator.close())
                        .compose(closed -> context.vertx().close())
                        .onComplete(done);
            });
        });
        return done.future();
    }

    private OperatorServer.Gauges gauges() {
        boolean ready = "serving".equals(state)
                && context.backends().engines().stream().anyMatch(BackendTable.Server::hasReported);
        return new OperatorServer.Gauges(state, ready, entry.inFlight(), entry.queued());
    }
}
