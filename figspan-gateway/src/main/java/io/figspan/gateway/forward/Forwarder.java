package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.event.Part;
import io.figspan.core.id.HostId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.time.Deadline;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.WorkChange;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.backend.MemoryHolds;
import io.figspan.gateway.forward.EarlyCalls.EarlyCall;
import io.figspan.gateway.http.ByteBudget;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.metrics.GatewayMetrics.RequestEnd;
import io.figspan.gateway.protocol.BackendProtocol;
import io.figspan.gateway.protocol.CallerProtocol;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.policy.placing.EnginePlacer;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.LeastBusyPlacer;
import io.figspan.policy.placing.Placer;
import io.figspan.policy.placing.Placer.ServerSeat;
import io.figspan.policy.retry.WindowedRetryBudget;
import io.figspan.policy.route.KeyIndex;
import io.figspan.policy.route.RouteTable;
import io.figspan.policy.route.ServiceChoice;
import io.figspan.settings.gateway.EngineProfile;
import io.figspan.settings.gateway.GatewaySettings;
import io.figspan.settings.gateway.OrganisationKeys;
import io.figspan.settings.gateway.Route;
import io.figspan.settings.gateway.ServiceProfile;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/** Takes the requests of callers, finds where they go and hands them to their service. */
public final class Forwarder {
    /** Time to come back when nothing better is known. */
    private static final long RETRY_AFTER_MS = 300;

    /** Answers that are collected as a whole, all together; most are below a kilobyte. */
    private static final long MAX_BODIES_BYTES = 12 * 1_024 * 1_024;

    private final EventLoop loop;
    private final HostId self;
    private final CallerProtocol callerProtocol;
    private final BackendProtocol backendProtocol;
    private final BackendPools pools;
    private final MemoryHolds holds;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final RandomGenerator random;
    private final Map<ServiceId, ServiceLane> lanes = new HashMap<>();
    private final EarlyCalls early = new EarlyCalls();
    private final ByteBudget bodies = new ByteBudget(MAX_BODIES_BYTES);
    private Set<HostId> hosts;
    private RetryAllowance allowance;
    private boolean isOpen;
    private Consumer<WorkChange> workListener = news -> {};
    private LongSupplier workViewAgeMs = () -> 0;
    private GatewaySettings settings;
    private RouteTable routes = new RouteTable(List.of());
    private KeyIndex keys = new KeyIndex(List.of());

    /** The budget of retries of all hosts for one service. */
    public record RetryAllowance(double fraction, double allowance, long windowMs) {
        WindowedRetryBudget newBudget() {
            return new WindowedRetryBudget(fraction, allowance, windowMs);
        }
    }

    public Forwarder(
            EventLoop loop,
            HostId self,
            CallerProtocol callerProtocol,
            BackendProtocol backendProtocol,
            BackendPools pools,
            MemoryHolds holds,
            DecisionLog log,
            GatewayMetrics metrics,
            RandomGenerator random,
            RetryAllowance allowance) {
        this.loop = loop;
        this.self = self;
        this.hosts = Set.of(self);
        this.callerProtocol = callerProtocol;
        this.backendProtocol = backendProtocol;
        this.pools = pools;
        this.holds = holds;
        this.log = log;
        this.metrics = metrics;
        this.random = random;
        this.allowance = allowance;
    }

    /** Puts settings into force, unless newer ones are. */
    public void apply(GatewaySettings newer) {
        if (settings != null && !newer.version().isNewerThan(settings.version())) {
            return;
        }
        metrics.count("settings.applied");
        log.info(Part.SETTINGS, "settingsInForce")
                .number("version", newer.version().number())
                .number("before", settingsVersion().number())
                .number("routes", newer.routes().size())
                .write();
        settings = newer;
        routes = new RouteTable(newer.routes());
        keys = new KeyIndex(newer.organisations());
        serversChanged();
    }

    public SettingsVersion settingsVersion() {
        return settings == null ? SettingsVersion.NONE : settings.version();
    }

    public boolean hasSettings() {
        return settings != null;
    }

    /** Tells the lanes which servers take new work. */
    public void serversChanged() {
        if (settings == null) {
            return;
        }
        Map<ServiceId, List<ServerSeat>> seats = new HashMap<>();
        for (BackendServer server : pools.all()) {
            List<ServerSeat> ofService = seats.computeIfAbsent(server.service(), ignored -> new ArrayList<>());
            if (!server.isLeaving()) {
                ofService.add(new ServerSeat(server.id(), server.slots()));
            }
        }
        lanes.keySet().forEach(service -> seats.putIfAbsent(service, List.of()));
        long nowNanos = System.nanoTime();
        seats.forEach((service, servers) -> lane(service).serversChanged(servers, hosts, nowNanos));
    }

    /** Begins to forward: the settings and the backend servers are known. Requests that waited for it go on. */
    public void open() {
        if (isOpen) {
            return;
        }
        isOpen = true;
        for (EarlyCall call : early.takeAll()) {
            call.acceptedAs(forward(call.request, call.body, call.caller, call.arrivedNanos));
        }
    }

    /** Takes a whole request. The call is empty when it was answered at once. */
    public Optional<CallerCall> accept(CallerRequest request, ByteBuf body, CallerExchange caller) {
        long nowNanos = System.nanoTime();
        if (isOpen) {
            return forward(request, body, caller, nowNanos);
        }
        Optional<EarlyCall> waiting = early.add(request, body, caller, nowNanos);
        if (waiting.isEmpty()) {
            refuse(request, body, caller, notOpen());
        }
        return waiting.map(call -> call);
    }

    private static Problem notOpen() {
        return Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "no settings are known yet")
                .withRetryAfterMs(RETRY_AFTER_MS);
    }

    private Optional<CallerCall> forward(
            CallerRequest request, ByteBuf body, CallerExchange caller, long arrivedNanos) {
        Problem problem;
        Optional<Route> route = routes.find(request.hostName(), request.path());
        if (route.isEmpty()) {
            problem = Problem.notRun(ProblemKind.NOT_FOUND, "no route for " + request.path());
            return refuse(request, body, caller, problem);
        }
        Optional<OrganisationKeys> organisation = request.key().flatMap(keys::find);
        if (organisation.isEmpty() && settings.requiresKeys() && !route.get().isPublic()) {
            problem = Problem.notRun(ProblemKind.UNAUTHENTICATED, "the key is unknown");
            return refuse(request, body, caller, problem);
        }
        Optional<ServiceId> service = ServiceChoice.choose(route.get(), random);
        if (service.isEmpty()) {
            problem = Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "the route leads nowhere");
            return refuse(request, body, caller, problem.withRetryAfterMs(RETRY_AFTER_MS));
        }
        return Optional.of(start(request, body, caller, route.get(), service.get(), organisation, arrivedNanos));
    }

    private ForwardCall start(
            CallerRequest request,
            ByteBuf body,
            CallerExchange caller,
            Route route,
            ServiceId service,
            Optional<OrganisationKeys> organisation,
            long arrivedNanos) {
        long allowedMs = Math.min(request.waitMs().orElse(route.timeoutMs()), route.timeoutMs());
        int rank = organisation
                .map(OrganisationKeys::rank)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(route.rank());
        Job job = new Job(
                request.attemptId(),
                arrivedNanos,
                Deadline.after(arrivedNanos, allowedMs),
                TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMs()),
                TimeUnit.MILLISECONDS.toNanos(route.maxGapMs()),
                rank,
                request.prompt());
        ServiceLane lane = lane(service);
        long nowNanos = System.nanoTime();
        lane.budget().requestArrived(nowNanos);
        ForwardCall call =
                new ForwardCall(this, lane, route, request, body, caller, organisation.map(OrganisationKeys::id), job);
        call.start(nowNanos);
        return call;
    }

    private Optional<CallerCall> refuse(CallerRequest request, ByteBuf body, CallerExchange caller, Problem problem) {
        body.release();
        metrics.requestEnded(RequestEnd.REFUSED, 0);
        log.info(Part.ENTRY, "refused")
                .text("request", request.attemptId())
                .number("status", problem.kind().httpStatus())
                .text("reason", problem.detail())
                .number("settings", settingsVersion().number())
                .write();
        caller.answer(ProblemResponses.of(problem));
        return Optional.empty();
    }

    private ServiceLane lane(ServiceId service) {
        return lanes.computeIfAbsent(service, this::newLane);
    }

    private ServiceLane newLane(ServiceId service) {
        Optional<EngineProfile> engine =
                Optional.ofNullable(settings.services().get(service)).flatMap(ServiceProfile::engine);
        Placer placer = engine.<Placer>map(profile -> new EnginePlacer(profile, random))
                .orElseGet(() -> new LeastBusyPlacer(random));
        ServerScope scope = engine.isPresent() ? new ServerScope.OwnCell(self, hosts) : new ServerScope.All();
        return new ServiceLane(
                placer, scope, allowance.newBudget(), metrics.processorTime(), news -> workListener.accept(news));
    }

    /** All that this host has at model engines. */
    public List<PlacedRequest> ownWork() {
        long nowNanos = System.nanoTime();
        return lanes.values().stream()
                .flatMap(lane -> lane.ownWork(nowNanos).stream())
                .toList();
    }

    /** All that another host has at model engines now; an empty list when the host is gone. */
    public void peerWork(HostId host, List<PlacedRequest> work) {
        long nowNanos = System.nanoTime();
        for (ServiceLane lane : lanes.values()) {
            lane.peerWork(host, work, nowNanos);
        }
    }

    /** The live hosts, this one included, are others than before. */
    public void hostsChanged(Set<HostId> newHosts) {
        hosts = Set.copyOf(newHosts);
        long nowNanos = System.nanoTime();
        lanes.values().forEach(lane -> lane.hostsChanged(hosts, nowNanos));
    }

    /** The hosts that share model engines with this one, which is among them; none when there are no engines. */
    public Set<HostId> cell() {
        Set<HostId> cell = new HashSet<>();
        lanes.values().forEach(lane -> cell.addAll(lane.cell()));
        return cell;
    }

    /** The hosts that work of this host at model engines concerns. */
    public Set<HostId> audience(List<PlacedRequest> work) {
        Set<HostId> audience = new HashSet<>();
        lanes.values().forEach(lane -> audience.addAll(lane.audience(work)));
        return audience;
    }

    /** Number of requests that wait for a place. */
    public long waiting() {
        return lanes.values().stream().mapToLong(ServiceLane::waiting).sum();
    }

    /** Replaces the budgets of retries, where the allowance differs; what was spent before is forgotten. */
    public void allowRetries(RetryAllowance newAllowance) {
        if (newAllowance.equals(allowance)) {
            return;
        }
        allowance = newAllowance;
        lanes.values().forEach(lane -> lane.replaceBudget(newAllowance.newBudget()));
    }

    /** The number of hosts that share the budgets of retries. */
    public void sharedBy(int hostCount) {
        lanes.values().forEach(lane -> lane.budget().sharedBy(hostCount));
    }

    /** Called when this host's work at model engines has changed. */
    public void onWorkChanged(Consumer<WorkChange> listener) {
        workListener = listener;
    }

    /** Where the age of the oldest report of another host's work comes from. */
    public void viewsWorkThrough(LongSupplier ageMs) {
        workViewAgeMs = ageMs;
    }

    long workViewAgeMs() {
        return workViewAgeMs.getAsLong();
    }

    /** Runs what is due in all lanes. */
    public void tick(long nowNanos) {
        for (EarlyCall call : early.takeExpired(nowNanos)) {
            refuse(call.request, call.body, call.caller, notOpen());
        }
        lanes.values().forEach(lane -> lane.tick(nowNanos));
        pools.closeIdle(nowNanos);
    }

    long retryAfterMs() {
        return RETRY_AFTER_MS;
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

    /** The memory for answers that are collected as a whole. */
    ByteBudget bodies() {
        return bodies;
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
