package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.event.Part;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.MemoryHolds;
import io.figspan.gateway.forward.StartupQueue.QueuedCall;
import io.figspan.gateway.http.ByteBudget;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.metrics.GatewayMetrics.RequestEnd;
import io.figspan.gateway.protocol.BackendProtocol;
import io.figspan.gateway.protocol.CallerProtocol;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.policy.drain.DrainPlan;
import io.figspan.policy.placing.Job;
import io.figspan.policy.route.RouteTable;
import io.figspan.policy.route.ServiceSelector;
import io.figspan.settings.gateway.CallerAccess;
import io.figspan.settings.gateway.GatewaySettings;
import io.figspan.settings.gateway.OrganisationKeys;
import io.figspan.settings.gateway.Route;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Entry point for the requests of callers: finds the route, checks the key, chooses the service and starts a {@link
 * ForwardCall}. All methods must be called on the event loop.
 */
public final class Forwarder {
    /** Retry-After of refusals for which no better estimate exists. */
    private static final long DEFAULT_RETRY_AFTER_MS = 300;

    /** Maximum total size of all buffered response bodies; most are below a kilobyte. */
    private static final long MAX_BUFFERED_RESPONSE_BYTES = 12 * 1_024 * 1_024;

    private final EventLoop loop;
    private final CallerProtocol callerProtocol;
    private final BackendProtocol backendProtocol;
    private final BackendPools pools;
    private final MemoryHolds holds;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final RandomGenerator random;
    private final RequestCrashes requestCrashes;
    private final RequestLimits requestLimits;
    private final ServiceDispatchers dispatchers;
    private final DrainControl drain;
    private final StartupQueue startupQueue = new StartupQueue();
    private final ByteBudget responseBodyBudget = new ByteBudget(MAX_BUFFERED_RESPONSE_BYTES);
    private final CallerAuthentication authentication = new CallerAuthentication();
    private final SettingsLog settingsLog;
    private boolean isOpen;
    private boolean isFairBetweenOrganisations;
    private LongSupplier workViewAgeMs = () -> 0;
    private BooleanSupplier areSettingsOutdated = () -> false;
    private Consumer<GatewaySettings> settingsListener = applied -> {};
    private GatewaySettings settings;
    private RouteTable routes = new RouteTable(List.of());
    private RequestProfiles profiles = new RequestProfiles(Map.of());

    public Forwarder(
            EventLoop loop,
            CallerProtocol callerProtocol,
            BackendProtocol backendProtocol,
            BackendPools pools,
            MemoryHolds holds,
            DecisionLog log,
            GatewayMetrics metrics,
            RandomGenerator random,
            RequestCrashes requestCrashes,
            RequestLimits requestLimits,
            ServiceDispatchers dispatchers) {
        this.loop = loop;
        this.callerProtocol = callerProtocol;
        this.backendProtocol = backendProtocol;
        this.pools = pools;
        this.holds = holds;
        this.log = log;
        this.metrics = metrics;
        this.random = random;
        this.requestCrashes = requestCrashes;
        this.requestLimits = requestLimits;
        this.drain = new DrainControl(random, log, metrics);
        requestCrashes.onQuarantined(dispatchers::quarantined);
        requestLimits.setHostsUsing(dispatchers::hostsUsing);
        this.dispatchers = dispatchers;
        this.settingsLog = new SettingsLog(log, metrics);
        dispatchers.setShareLog(new ShareLog(log, metrics));
    }

    /** From now on each request on a route that is not public needs a valid key, whatever the settings say. */
    public void requireKeys() {
        authentication.requireKeys();
    }

    /** Applies settings, unless newer ones are in force. */
    public void apply(GatewaySettings newSettings) {
        if (settings != null && !newSettings.version().isNewerThan(settings.version())) {
            return;
        }
        CallerAccess access = authentication.apply(newSettings.access());
        settingsLog.applied(newSettings, settingsVersion(), access);
        settings = newSettings;
        routes = new RouteTable(newSettings.routes());
        profiles = new RequestProfiles(newSettings.services());
        dispatchers.apply(newSettings);
        settingsListener.accept(newSettings);
    }

    /** Sets whether organisations share scarce model engines fairly, for the requests that come from now on. */
    public void setFairBetweenOrganisations(boolean isFair) {
        isFairBetweenOrganisations = isFair;
    }

    /** Sets the listener that is called with the settings that have come into force. */
    public void onSettingsApplied(Consumer<GatewaySettings> listener) {
        settingsListener = listener;
    }

    public SettingsVersion settingsVersion() {
        return settings == null ? SettingsVersion.NONE : settings.version();
    }

    public boolean hasSettings() {
        return settings != null;
    }

    /**
     * Starts forwarding, once the settings and the backend servers are known. Forwards the requests that were queued.
     */
    public void open() {
        if (isOpen) {
            return;
        }
        isOpen = true;
        startupQueue.drain().forEach(this::forwardQueued);
    }

    /** An unexpected error costs no other request its forwarding. */
    private void forwardQueued(QueuedCall call) {
        try {
            call.setForwardedCall(forward(call.request, call.caller, call.arrivedNanos));
        } catch (RuntimeException e) {
            call.caller.fail(e);
        }
    }

    /**
     * Accepts a complete request and takes ownership of it.
     *
     * @return the call in progress; empty if the request was refused at once
     */
    public Optional<InFlightCall> accept(ReceivedRequest request, CallerExchange caller) {
        long nowNanos = System.nanoTime();
        if (isOpen) {
            return forward(request, caller, nowNanos);
        }
        if (drain.hasBegun()) {
            refuseForShutdown(request, caller, nowNanos);
            return Optional.empty();
        }
        Optional<QueuedCall> waiting = startupQueue.add(request, caller, nowNanos);
        if (waiting.isEmpty()) {
            refuse(request, caller, notOpenProblem(nowNanos));
        }
        return waiting.map(call -> call);
    }

    private void refuseForShutdown(ReceivedRequest request, CallerExchange caller, long nowNanos) {
        refuse(request, caller, drain.refuse(request.head().attemptId(), nowNanos));
    }

    /** A full queue means that the settings take long, so its callers return when the queue has room for them. */
    private Problem notOpenProblem(long nowNanos) {
        long retryAfterMs = Math.max(DEFAULT_RETRY_AFTER_MS, startupQueue.timeUntilRoomMs(nowNanos));
        return Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "no settings are known yet")
                .withRetryAfterMs(retryAfterMs);
    }

    /** Number of requests that wait for the settings. */
    public long waitingForSettings() {
        return startupQueue.size();
    }

    /** How long the oldest request that waits for the settings stays at the most; 0 if none waits. */
    public long startupWaitMs(long nowNanos) {
        return startupQueue.timeUntilOldestLeavesMs(nowNanos);
    }

    /** Until a call owns the request, an unexpected error releases it. */
    private Optional<InFlightCall> forward(ReceivedRequest request, CallerExchange caller, long arrivedNanos) {
        Optional<ForwardCall> created;
        try {
            created = createOrRefuse(request, caller, arrivedNanos);
        } catch (RuntimeException e) {
            request.release();
            throw e;
        }
        created.ifPresent(call -> call.start(System.nanoTime()));
        return created.map(call -> call);
    }

    private Optional<ForwardCall> createOrRefuse(ReceivedRequest request, CallerExchange caller, long arrivedNanos) {
        CallerRequest head = request.head();
        Problem problem;
        Optional<Route> route = routes.find(head.hostName(), head.path());
        if (route.isEmpty()) {
            problem = Problem.notRun(ProblemKind.NOT_FOUND, "no route for " + head.path());
            return refuse(request, caller, unlessOutdated(problem));
        }
        Optional<OrganisationKeys> organisation = authentication.organisationOf(head);
        if (!authentication.admits(organisation, route.get())) {
            problem = Problem.notRun(ProblemKind.UNAUTHENTICATED, "the key is unknown");
            return refuse(request, caller, unlessOutdated(problem));
        }
        Optional<ServiceId> service = ServiceSelector.choose(route.get(), random);
        if (service.isEmpty()) {
            problem = Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "the route leads nowhere");
            return refuse(request, caller, problem.withRetryAfterMs(DEFAULT_RETRY_AFTER_MS));
        }
        return Optional.of(create(request, caller, route.get(), service.get(), organisation, arrivedNanos));
    }

    /**
     * Returns the problem of a request that the settings in force don't allow. While newer settings are known to exist,
     * which may allow it, the refusal is not final.
     */
    public Problem unlessOutdated(Problem problem) {
        if (!areSettingsOutdated.getAsBoolean()) {
            return problem;
        }
        return Problem.notRun(ProblemKind.SETTINGS_NOT_READ, problem.detail() + " by outdated settings")
                .withRetryAfterMs(DEFAULT_RETRY_AFTER_MS);
    }

    private ForwardCall create(
            ReceivedRequest request,
            CallerExchange caller,
            Route route,
            ServiceId service,
            Optional<OrganisationKeys> organisation,
            long arrivedNanos) {
        Job job = JobFactory.create(request.head(), route, organisation, isFairBetweenOrganisations, arrivedNanos);
        ServiceDispatcher dispatcher = dispatchers.dispatcher(service);
        dispatcher.budget().recordRequest(System.nanoTime());
        return new ForwardCall(
                this,
                dispatcher,
                route,
                request,
                caller,
                organisation.map(OrganisationKeys::id),
                job,
                profiles.of(route, service, request.head()));
    }

    private Optional<ForwardCall> refuse(ReceivedRequest request, CallerExchange caller, Problem problem) {
        request.release();
        metrics.requestEnded(RequestEnd.REFUSED, 0);
        log.info(Part.ENTRY, "refused")
                .text("request", request.head().attemptId())
                .number("status", problem.kind().httpStatus())
                .text("reason", problem.detail())
                .number("settings", settingsVersion().number())
                .write();
        caller.respond(ProblemResponses.of(problem));
        return Optional.empty();
    }

    /** Sets the source for whether newer settings are known to exist than those in force. */
    public void setSettingsOutdated(BooleanSupplier outdated) {
        areSettingsOutdated = outdated;
    }

    /** Sets the source for the age in milliseconds of the oldest report of another host's work. */
    public void setWorkViewAge(LongSupplier viewAgeMs) {
        workViewAgeMs = viewAgeMs;
    }

    long workViewAgeMs() {
        return workViewAgeMs.getAsLong();
    }

    /** Expires queued requests, runs the timers of all dispatchers and closes idle connections. */
    public void tick(long nowNanos) {
        for (QueuedCall call : startupQueue.drainExpired(nowNanos)) {
            refuse(call.request, call.caller, notOpenProblem(nowNanos));
        }
        requestCrashes.tick(nowNanos);
        requestLimits.tick(nowNanos);
        dispatchers.tick(nowNanos);
        pools.closeIdle(nowNanos);
    }

    // Planned stop

    /** Begins a planned stop. A host that has not opened yet forwards nothing any more. */
    public void beginDrain(DrainPlan plan) {
        drain.begin(plan);
        long nowNanos = System.nanoTime();
        for (QueuedCall call : startupQueue.drain()) {
            refuseForShutdown(call.request, call.caller, nowNanos);
        }
    }

    /**
     * Ends the requests that no server has and that can't end before this host stops.
     *
     * @param inProgress number of connections whose answers are not written yet
     */
    public void endCallsOutOfTime(long inProgress, long nowNanos) {
        drain.setInProgress(inProgress);
        dispatchers.observeDurations(nowNanos);
        dispatchers.endCallsOutOfTime(nowNanos);
    }

    /** Ends all requests in progress, first those that are queued, so that none of them is sent to a freed server. */
    public void endCallsForShutdown(long nowNanos) {
        drain.lastAnswersDue();
        dispatchers.endCallsOutOfTime(nowNanos);
        dispatchers.endCallsForShutdown();
    }

    /** From now on each request that arrives is refused, since this host ends. */
    public void refuseArrivals() {
        drain.lastAnswersDue();
    }

    /** The refusal of a request whose body is still arriving and that can't end before this host stops. */
    public Optional<Problem> refusalOfIncomplete(CallerRequest request, long nowNanos) {
        Optional<Route> route = routes.find(request.hostName(), request.path());
        if (route.isEmpty()) {
            return drain.fits(nowNanos) ? Optional.empty() : Optional.of(drain.refuse(request.attemptId(), nowNanos));
        }
        return profiles.ofAllServices(route.get(), request)
                .filter(profile -> !drain.fits(profile, nowNanos))
                .findFirst()
                .map(profile -> drain.refuse(request.attemptId(), profile, nowNanos));
    }

    public DrainControl drain() {
        return drain;
    }

    RequestLimits requestLimits() {
        return requestLimits;
    }

    RequestCrashes requestCrashes() {
        return requestCrashes;
    }

    long defaultRetryAfterMs() {
        return DEFAULT_RETRY_AFTER_MS;
    }

    EventLoop loop() {
        return loop;
    }

    CallerProtocol callerProtocol() {
        return callerProtocol;
    }

    BackendProtocol backendProtocol() {
        return backendProtocol;
    }

    MemoryHolds holds() {
        return holds;
    }

    /** The memory budget shared by all buffered response bodies. */
    ByteBudget responseBodyBudget() {
        return responseBodyBudget;
    }

    BackendPools pools() {
        return pools;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    DecisionLog log() {
        return log;
    }
}
