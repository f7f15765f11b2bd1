package io.figspan.gateway.forward;

import io.figspan.control.leaving.LeavingSource;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.WorkChange;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.policy.placing.EnginePlacer;
import io.figspan.policy.placing.LeastBusyPlacer;
import io.figspan.policy.placing.Placer;
import io.figspan.policy.placing.Placer.AvailableServer;
import io.figspan.policy.placing.RequestGate;
import io.figspan.policy.retry.WindowedRetryBudget;
import io.figspan.settings.gateway.EngineProfile;
import io.figspan.settings.gateway.GatewaySettings;
import io.figspan.settings.gateway.PrefixRetention;
import io.figspan.settings.gateway.ServiceProfile;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The dispatchers of all services. Passes on to them what changes for all: servers, hosts and the work of other hosts.
 * All methods must be called on the event loop.
 */
public final class ServiceDispatchers {
    private final HostId self;
    private final BackendPools pools;
    private final GatewayMetrics metrics;
    private final RandomGenerator random;
    private final RequestLimits requestLimits;
    private final Map<ServiceId, ServiceDispatcher> dispatchers = new HashMap<>();
    private Set<HostId> hosts;
    private RetryBudgetConfig retryBudget;
    private Consumer<WorkChange> workListener = news -> {};
    private ShareLog shareLog;
    private GatewaySettings settings;

    /** Parameters of the retry budget of one service, which all hosts share. */
    public record RetryBudgetConfig(double fraction, double allowance, long windowMs) {
        WindowedRetryBudget newBudget() {
            return new WindowedRetryBudget(fraction, allowance, windowMs);
        }
    }

    public ServiceDispatchers(
            HostId self,
            BackendPools pools,
            GatewayMetrics metrics,
            RandomGenerator random,
            RequestLimits requestLimits,
            RetryBudgetConfig retryBudget) {
        this.self = self;
        this.hosts = Set.of(self);
        this.pools = pools;
        this.metrics = metrics;
        this.random = random;
        this.requestLimits = requestLimits;
        this.retryBudget = retryBudget;
        requestLimits.coldServers().setPossibleUsers(this::possibleUsers);
        metrics.gauge("requests.held.back", this::heldBackCount);
        pools.drainNotices().addListener(this::serverLeaves);
    }

    /** Whoever registers servers passes all changes of the registry on together. */
    private void serverLeaves(BackendIncarnation server, LeavingSource source) {
        if (source != LeavingSource.LIST) {
            serversChanged();
        }
    }

    /** Applies settings, which say what kind of servers each service has. */
    void apply(GatewaySettings newSettings) {
        settings = newSettings;
        requestLimits.coldServers().apply(newSettings.services());
        serversChanged();
    }

    /** Passes the servers that accept new requests on to the dispatchers. */
    public void serversChanged() {
        requestLimits.serversChanged();
        if (settings == null) {
            return;
        }
        Set<ServiceId> evacuated = pools.evacuatedServices();
        long nowNanos = System.nanoTime();
        requestLimits.coldServers().serversChanged();
        serversByService().forEach((service, servers) -> dispatcher(service)
                .serversChanged(servers, hosts, evacuated.contains(service), nowNanos));
        // The hosts that may use a server follow from the servers that the dispatchers know.
        requestLimits.coldServers().serversChanged();
    }

    /**
     * Places the queued requests again at once if other zones are evacuated than before and their services have servers
     * there. The dispatchers of all other services are not called, so that their decisions stay the same.
     */
    public void zonesChanged() {
        if (settings == null) {
            return;
        }
        Set<ServiceId> evacuated = pools.evacuatedServices();
        long nowNanos = System.nanoTime();
        serversByService().forEach((service, servers) -> {
            int placedAgain = dispatcher(service).zonesChanged(servers, hosts, evacuated.contains(service), nowNanos);
            metrics.count(GatewayMetrics.PLACED_AGAIN, placedAgain);
        });
        requestLimits.coldServers().serversChanged();
    }

    private Map<ServiceId, List<AvailableServer>> serversByService() {
        Map<ServiceId, List<AvailableServer>> serversByService = new HashMap<>();
        pools.available()
                .forEach((service, servers) -> serversByService.put(
                        service,
                        servers.stream()
                                .map(server ->
                                        new AvailableServer(server.id(), server.slots(), server.incarnationNumber()))
                                .toList()));
        dispatchers.keySet().forEach(service -> serversByService.putIfAbsent(service, List.of()));
        return serversByService;
    }

    ServiceDispatcher dispatcher(ServiceId service) {
        return dispatchers.computeIfAbsent(service, this::newDispatcher);
    }

    private ServiceDispatcher newDispatcher(ServiceId service) {
        RequestGate gate = requestLimits.and(pools.pauses());
        Optional<ServiceProfile> known = Optional.ofNullable(settings.services().get(service));
        Optional<EngineProfile> engine = known.flatMap(ServiceProfile::engine);
        Optional<PrefixRetention> retention = known.flatMap(ServiceProfile::prefixRetention);
        Placer placer = engine.<Placer>map(profile -> new EnginePlacer(profile, random, gate, retention))
                .orElseGet(() -> new LeastBusyPlacer(random, gate));
        ServerSubset subset = engine.isPresent() ? new ServerSubset.OwnCell(self, hosts) : new ServerSubset.All();
        return new ServiceDispatcher(
                placer,
                subset,
                new EvacuationRefusals(random),
                retryBudget.newBudget(),
                metrics.processorTime(),
                news -> workListener.accept(news));
    }

    /** All work that this host has placed at model engines. */
    public List<PlacedRequest> ownWork() {
        long nowNanos = System.nanoTime();
        return dispatchers.values().stream()
                .flatMap(dispatcher -> dispatcher.ownWork(nowNanos).stream())
                .toList();
    }

    /** Replaces the known work of another host at model engines; the list is empty if the host is gone. */
    public void peerWork(HostId host, List<PlacedRequest> work) {
        long nowNanos = System.nanoTime();
        for (ServiceDispatcher dispatcher : dispatchers.values()) {
            dispatcher.peerWork(host, work, nowNanos);
        }
    }

    /** Updates the set of live hosts, which includes this one. */
    public void hostsChanged(Set<HostId> newHosts) {
        hosts = Set.copyOf(newHosts);
        long nowNanos = System.nanoTime();
        dispatchers.values().forEach(dispatcher -> dispatcher.hostsChanged(hosts, nowNanos));
    }

    /** The hosts that share model engines with this one, including itself; empty if there are no engines. */
    public Set<HostId> cellHosts() {
        Set<HostId> cell = new HashSet<>();
        dispatchers.values().forEach(dispatcher -> cell.addAll(dispatcher.cellHosts()));
        return cell;
    }

    /** The hosts to which this host must report this work at model engines. */
    public Set<HostId> reportRecipients(List<PlacedRequest> work) {
        Set<HostId> recipients = new HashSet<>();
        dispatchers.values().forEach(dispatcher -> recipients.addAll(dispatcher.reportRecipients(work)));
        return recipients;
    }

    /** Number of requests that are queued for placement. */
    public long waitingCount() {
        return dispatchers.values().stream()
                .mapToLong(ServiceDispatcher::waitingCount)
                .sum();
    }

    /** Replaces the retry budgets if their parameters differ. Retries counted so far are dropped. */
    public void setRetryBudget(RetryBudgetConfig newRetryBudget) {
        if (newRetryBudget.equals(retryBudget)) {
            return;
        }
        retryBudget = newRetryBudget;
        dispatchers.values().forEach(dispatcher -> dispatcher.replaceBudget(newRetryBudget.newBudget()));
    }

    /** Sets the number of hosts that share the retry budgets. */
    public void setHostCount(int hostCount) {
        dispatchers.values().forEach(dispatcher -> dispatcher.budget().setHostCount(hostCount));
    }

    /** Number of requests that are queued for services with cold servers, whose requests are limited. */
    private long heldBackCount() {
        return requestLimits.coldServers().limitedServices().stream()
                .map(dispatchers::get)
                .filter(Objects::nonNull)
                .mapToLong(ServiceDispatcher::waitingCount)
                .sum();
    }

    /** Sets the log of organisations that are limited to their share; required before the first tick. */
    void setShareLog(ShareLog newShareLog) {
        shareLog = newShareLog;
    }

    /** Sets the listener that is called when this host's work at model engines has changed. */
    public void onWorkChanged(Consumer<WorkChange> listener) {
        workListener = listener;
    }

    /** The live hosts that use a server while it limits its requests. */
    Set<HostId> hostsUsing(BackendServerId server) {
        return pools.find(server)
                .map(BackendServer::service)
                .map(dispatchers::get)
                .map(dispatcher -> dispatcher.hostsUsing(server))
                .orElse(Set.of(self));
    }

    /** Those of the hosts, live or not, that may send requests to a server. */
    private Set<HostId> possibleUsers(BackendServer server, Set<HostId> allHosts) {
        ServiceDispatcher dispatcher = dispatchers.get(server.service());
        return dispatcher == null ? Set.of() : dispatcher.possibleUsers(server.id(), allHosts);
    }

    /** Ends the requests in progress that a quarantine concerns. */
    void quarantined() {
        dispatchers.values().forEach(ServiceDispatcher::quarantined);
    }

    /** Records how long the requests in progress have lasted, for the estimates of later ones. */
    void observeDurations(long nowNanos) {
        dispatchers.values().forEach(dispatcher -> dispatcher.observeDurations(nowNanos));
    }

    /** Ends the requests that no server has and that can't end before this host stops. */
    void endCallsOutOfTime(long nowNanos) {
        List.copyOf(dispatchers.values()).forEach(dispatcher -> dispatcher.endCallsOutOfTime(nowNanos));
    }

    /** Ends all requests in progress because this host stops. */
    void endCallsForShutdown() {
        List.copyOf(dispatchers.values()).forEach(ServiceDispatcher::endCallsForShutdown);
    }

    void tick(long nowNanos) {
        dispatchers.forEach((service, dispatcher) -> {
            dispatcher.tick(nowNanos);
            dispatcher.shareChanges(nowNanos).forEach(change -> shareLog.changed(service, change));
        });
    }
}
