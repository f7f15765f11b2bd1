package io.figspan.host.peer;

import io.figspan.cluster.ClusterHost;
import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.loan.LimitShares;
import io.figspan.cluster.loan.LoanLedger;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.core.error.FigspanException;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.time.HybridClock;
import io.figspan.core.time.MonotonicClock;
import io.figspan.wire.PeerClient;
import io.figspan.wire.PeerIdentity;
import io.figspan.wire.PeerLink;
import io.figspan.wire.PeerServer;
import io.figspan.wire.ReceivedMessage;
import io.figspan.wire.SendQueueBudget;
import io.figspan.wire.WireStats;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the protocols between hosts of one process on one event loop and carries out their actions over the peer port.
 * All public methods may be called from any thread.
 */
public final class PeerNode {
    private static final Logger LOG = LoggerFactory.getLogger(PeerNode.class);

    /** Reading a megabyte of settings takes well under a second; a longer adoption is taken as failed. */
    private static final long ADOPTION_LIMIT_SECONDS = 10;

    /** Mean wait before a failed watch of the configuration service is started again. */
    private static final long WATCH_RETRY_MS = 1_000;

    /** Time that the frames of a graceful leave get before the connections close. */
    private static final long LEAVE_LINGER_MS = 300;

    private final Vertx vertx;
    private final Context context;
    private final PeerNodeConfig config;
    private final NodeServices services;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final WireStats stats = new WireStats();
    private final PeerServer server;
    private final PeerClient client;
    private final ClusterHost cluster;
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private Disposable watch = Disposable.disposed();
    private boolean watchWanted;
    private long tickTimer = -1;
    private volatile PeerView view;
    private volatile long lastHeardNanos;

    /** What the rest of the host provides to the node. */
    public record NodeServices(
            ConfigurationSource configuration,
            SettingsAdopter adopter,
            OrderHandler orders,
            LimitShares shares,
            PeerNodeListener listener) {}

    /** {@code timestamps} is the clock of this process's time line, so that events follow the order of messages. */
    public PeerNode(
            Vertx vertx,
            Context context,
            PeerNodeConfig config,
            NodeServices services,
            MonotonicClock clock,
            HybridClock timestamps,
            RandomGenerator random) {
        this.vertx = vertx;
        this.context = context;
        this.config = config;
        this.services = services;
        this.clock = clock;
        this.random = random;
        PeerIdentity identity = new PeerIdentity(config.self(), config.key(), timestamps);
        SendQueueBudget sendBudget = new SendQueueBudget();
        this.server = new PeerServer(vertx, context, identity, stats, sendBudget);
        this.client = new PeerClient(vertx, context, identity, stats, sendBudget, random);
        this.client.reuseConnectionsOf(server);
        this.cluster = new ClusterHost(
                config.self(), config.seeds(), config.tuning(), services.shares(), random, clock.nowNanos());
        this.lastHeardNanos = clock.nowNanos();
        refreshView();
    }

    // Lifecycle

    /** Starts to listen and to find the other hosts. */
    public Completable start() {
        subscriptions.add(server.inbound().subscribe(this::receive));
        subscriptions.add(client.inbound().subscribe(this::receive));
        PeerAddress address = config.self().address();
        return server.listen(address.address(), address.port())
                .andThen(Completable.fromAction(() -> onContext(() -> {
                    tickTimer =
                            vertx.setPeriodic(TimeUnit.NANOSECONDS.toMillis(ClusterHost.TICK_NANOS), ignored -> tick());
                    tick();
                })));
    }

    /**
     * Tells some members that this host leaves, so that it drops out of the entry lists, and goes on to answer orders
     * and outcome queries until {@link #close()}.
     */
    public void announceLeave() {
        run(cluster::leave);
    }

    /** Tells some members that this host leaves, so that it is dropped without suspicion, and closes. */
    public Completable leave() {
        return Completable.create(emitter -> onContext(() -> {
                    carryOut(cluster.leave(), null);
                    vertx.setTimer(LEAVE_LINGER_MS, ignored -> emitter.onComplete());
                }))
                .andThen(Completable.defer(this::close));
    }

    /** Closes at once, as after a crash. */
    public Completable close() {
        return Completable.create(emitter -> onContext(() -> {
                    vertx.cancelTimer(tickTimer);
                    stopWatch();
                    subscriptions.dispose();
                    emitter.onComplete();
                }))
                .andThen(client.close())
                .andThen(server.close());
    }

    // View

    public PeerView view() {
        return view;
    }

    public WireStats.Snapshot wireStats() {
        return stats.snapshot();
    }

    /**
     * Whether this process may still use its share of the limits: it was heard by another host recently enough that no
     * replacement at its seat uses the share yet, or it knows no other host.
     */
    public boolean mayUseOwnShare() {
        boolean alone = view.live().size() <= 1;
        return alone || clock.nowNanos() - lastHeardNanos < LoanLedger.RESTART_WAIT_NANOS;
    }

    // Requests

    /**
     * Sends an order or an outcome query to another host. Fails with {@code OWNER_UNREACHABLE} when no outcome arrives
     * in time; the other host may then have carried it out.
     *
     * @param message makes the message from the correlation id
     */
    public Single<PeerMessage.OrderOutcome> request(
            PeerAddress owner, LongFunction<PeerMessage> message, long timeoutMs) {
        return client.request(owner, message, timeoutMs);
    }

    /** Tells the other hosts that a backend server is leaving. */
    public void backendLeaving(BackendIncarnation backend) {
        run(() -> cluster.backendLeaving(backend));
    }

    /** Asks the live ones of an organisation's home hosts to lend this host a rate. */
    public void requestLoan(OrganisationId organisation, long tokensPerSecond, List<Peer> liveHomes) {
        run(() -> cluster.requestLoan(organisation, tokensPerSecond, liveHomes, clock.nowNanos()));
    }

    // Running the protocols

    private void run(Supplier<List<ClusterAction>> step) {
        onContext(() -> carryOut(step.get(), null));
    }

    private void onContext(Runnable action) {
        if (Vertx.currentContext() == context) {
            action.run();
        } else {
            context.runOnContext(ignored -> action.run());
        }
    }

    private void tick() {
        carryOut(cluster.tick(clock.nowNanos()), null);
        if (view.localHealthScore() != cluster.membership().localHealthScore()) {
            refreshView();
        }
    }

    private void receive(ReceivedMessage inbound) {
        lastHeardNanos = clock.nowNanos();
        PeerMessage message = inbound.message();
        if (message instanceof PeerMessage.ForwardOrder order) {
            answer(inbound.link(), services.orders().forwarded(inbound.from(), order));
        } else if (message instanceof PeerMessage.OutcomeQuery query) {
            answer(inbound.link(), services.orders().outcome(inbound.from(), query));
        } else if (message instanceof PeerMessage.OrderOutcome outcome) {
            client.accept(outcome);
        } else {
            carryOut(cluster.receive(inbound.from(), message, clock.nowNanos()), inbound.link());
        }
    }

    private void answer(PeerLink link, Single<PeerMessage.OrderOutcome> outcome) {
        var unused = outcome.subscribe(
                answer -> onContext(() -> link.send(answer)),
                error -> LOG.error("[wire] order handler failed; the forwarder answers unknown", error),
                subscriptions);
    }

    private void carryOut(List<ClusterAction> actions, PeerLink replyLink) {
        for (ClusterAction action : actions) {
            carryOut(action, replyLink);
        }
    }

    private void carryOut(ClusterAction action, PeerLink replyLink) {
        if (action instanceof ClusterAction.Send send) {
            client.send(send.to(), send.message());
        } else if (action instanceof ClusterAction.Reply reply) {
            reply(replyLink, reply.message());
        } else if (action instanceof ClusterAction.MemberChanged changed) {
            memberChanged(changed);
        } else if (action instanceof ClusterAction.MemberTableFull refused) {
            LOG.warn("[member] refused {}: the member table is full", refused.peer());
        } else if (action instanceof ClusterAction.BackendLeaving leaving) {
            services.listener().backendLeaving(leaving.backend());
        } else if (action instanceof ClusterAction.Superseded superseded) {
            LOG.error("[member] {} has this seat; this process must stop serving", superseded.newer());
            services.listener().superseded(superseded.newer());
        } else if (action instanceof ClusterAction.NetLoanRateChanged changed) {
            services.listener().allowanceChanged(changed.organisation(), changed.tokensPerSecond(), changed.atNanos());
        } else {
            carryOutSettings(action);
        }
    }

    private void carryOutSettings(ClusterAction action) {
        if (action instanceof ClusterAction.AdoptSettings adopt) {
            adopt(adopt.content());
        } else if (action instanceof ClusterAction.SettingsPullFailed refused) {
            LOG.error("[settings] refused version {} of a peer: {}", refused.version(), refused.reason());
        } else if (action instanceof ClusterAction.ReadConfigurationService) {
            readService();
        } else if (action instanceof ClusterAction.WatchConfigurationService wanted) {
            watchWanted = wanted.watch();
            stopWatch();
            startWatch();
            refreshView();
        }
    }

    private void reply(PeerLink replyLink, PeerMessage message) {
        if (replyLink == null) {
            throw new IllegalStateException("a reply outside the receipt of a message");
        }
        try {
            replyLink.send(message);
        } catch (FigspanException e) {
            LOG.error("[wire] dropped a reply: {}", e.detail());
        }
    }

    private void memberChanged(ClusterAction.MemberChanged changed) {
        LOG.info("[member] {} is {}", changed.peer(), changed.live() ? "live" : "gone");
        if (!changed.live()) {
            client.forget(changed.peer().address());
            server.forget(changed.peer().address());
        }
        refreshView();
        services.listener().memberChanged(changed.peer(), changed.live());
    }

    private void refreshView() {
        view = new PeerView(
                cluster.membership().live(),
                cluster.membership().liveByZone(),
                cluster.settingsGossip().inForce(),
                cluster.settingsGossip().isWatching(),
                cluster.membership().localHealthScore());
    }

    // Settings

    private void adopt(SettingsContent content) {
        Single<Boolean> adoption = services.adopter().adopt(content).timeout(ADOPTION_LIMIT_SECONDS, TimeUnit.SECONDS);
        var unused = adoption.subscribe(
                adopted -> onContext(() -> finishAdoption(content, adopted)),
                error -> onContext(() -> {
                    LOG.error("[settings] version {} could not be adopted", content.version(), error);
                    finishAdoption(content, false);
                }),
                subscriptions);
    }

    private void finishAdoption(SettingsContent content, boolean adopted) {
        if (adopted) {
            carryOut(cluster.adopted(content.version(), clock.nowNanos()), null);
        } else {
            cluster.rejected(content.version());
        }
        refreshView();
    }

    private void readService() {
        var unused = services.configuration()
                .read()
                .subscribe(
                        content -> run(() -> cluster.settingsRead(content, clock.nowNanos())),
                        error -> LOG.warn("[settings] cannot read the configuration service: {}", error.getMessage()),
                        () -> LOG.info("[settings] the configuration service has no version"),
                        subscriptions);
    }

    private void startWatch() {
        if (!watchWanted) {
            return;
        }
        watch = services.configuration()
                .watch()
                .subscribe(
                        content -> run(() -> cluster.settingsRead(content, clock.nowNanos())),
                        error -> {
                            LOG.warn("[settings] the watch ended: {}", error.getMessage());
                            onContext(this::restartWatchLater);
                        },
                        () -> onContext(this::restartWatchLater));
    }

    private void restartWatchLater() {
        long waitMs = WATCH_RETRY_MS / 2 + random.nextLong(WATCH_RETRY_MS);
        vertx.setTimer(waitMs, ignored -> {
            if (watch.isDisposed()) {
                startWatch();
            }
        });
    }

    private void stopWatch() {
        watch.dispose();
    }
}
