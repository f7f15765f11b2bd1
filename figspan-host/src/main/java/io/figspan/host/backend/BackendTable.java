package io.figspan.host.backend;

import io.figspan.control.leaving.LeavingRegistry;
import io.figspan.control.leaving.LeavingSource;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.ServiceId;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.policy.placement.LoadReport;
import io.figspan.policy.placement.LoadView;
import io.figspan.policy.subset.EngineLocation;
import io.figspan.policy.subset.SubsetPolicy;
import io.figspan.settings.FleetList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Backend servers that this host knows and its view of the engines' load. Used on the event loop only. Bounded by
 * {@link #MAX_SERVERS}; further ones are ignored.
 */
public final class BackendTable {
    public static final int MAX_SERVERS = 4_096;

    /** One backend server. */
    public static final class Server {
        private FleetList.BackendServer listed;
        private long incarnationNumber;
        private boolean leaving;
        private boolean suspect;
        private boolean stale = true;
        private long capacityTokens;
        private long heardAtNanos;

        Server(FleetList.BackendServer listed) {
            this.listed = listed;
            this.incarnationNumber = listed.incarnationNumber();
        }

        public BackendServerId id() {
            return listed.id();
        }

        public FleetList.BackendServer listed() {
            return listed;
        }

        private EngineLocation runner() {
            return new EngineLocation(listed.id(), listed.availabilityZone());
        }

        public BackendIncarnation incarnation() {
            return new BackendIncarnation(listed.id(), incarnationNumber);
        }

        public boolean isEngine() {
            return listed.kind() == FleetList.BackendKind.MODEL_ENGINE;
        }

        public String address() {
            return listed.address();
        }

        public int port() {
            return listed.port();
        }

        /** Whether new work may go there: it is not leaving, its last use did not fail and its report is recent. */
        public boolean takesNewWork() {
            return !leaving && !suspect && !(isEngine() && stale);
        }

        public boolean isLeaving() {
            return leaving;
        }

        /** Whether the last use failed; it is polled until it answers. */
        public boolean isSuspect() {
            return suspect;
        }

        /** Memory that the engine has reported; 0 when it has not reported. */
        public long capacityTokens() {
            return capacityTokens;
        }

        public boolean hasReported() {
            return capacityTokens > 0;
        }

        /** When the engine was last heard, on the monotonic clock; 0 for never. */
        public long heardAtNanos() {
            return heardAtNanos;
        }
    }

    /** Told when a server is seen to leave for the first time. */
    public interface LeavingListener {
        void onLeaving(BackendIncarnation incarnation);
    }

    private final HostId self;
    private final Map<BackendServerId, Server> servers = new TreeMap<>();
    private final LoadView loads;
    private final LeavingRegistry leavingServers = new LeavingRegistry(LeavingRegistry.DEFAULT_CAPACITY_SERVERS);
    private SubsetPolicy subset = SubsetPolicy.DEFAULT;
    private LeavingListener leavingListener = incarnation -> {};
    private Runnable changeListener = () -> {};
    private Consumer<BackendIncarnation> goneListener = incarnation -> {};

    public BackendTable(HostId self, EngineSpeed speed) {
        this.self = self;
        this.loads = new LoadView(speed);
    }

    public void setLeavingListener(LeavingListener listener) {
        leavingListener = listener;
    }

    /** Sets the listener that is told when room for more work may have appeared. */
    public void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    /** Sets the listener that is told of processes that a newer one has replaced. */
    public void setGoneListener(Consumer<BackendIncarnation> listener) {
        goneListener = listener;
    }

    public LoadView loads() {
        return loads;
    }

    public Collection<Server> all() {
        return List.copyOf(servers.values());
    }

    /** The engines that this host uses: a bounded subset, the same for each order in which they were listed. */
    public List<Server> engines() {
        return servers.values().stream()
                .filter(server -> server.isEngine() && loads.get(server.id()) != null)
                .toList();
    }

    /** Number of engines of the whole fleet that are known. */
    public int engineCount() {
        return (int) servers.values().stream().filter(Server::isEngine).count();
    }

    /** Servers of a plain service that take new work. */
    public List<Server> servers(ServiceId service) {
        List<Server> found = new ArrayList<>();
        for (Server server : servers.values()) {
            if (server.listed().services().contains(service) && !server.isLeaving()) {
                found.add(server);
            }
        }
        return found;
    }

    /** Smallest memory that an engine of this host's subset has reported; 0 when none has. */
    public long smallestCapacityTokens() {
        return engines().stream()
                .filter(Server::hasReported)
                .mapToLong(Server::capacityTokens)
                .min()
                .orElse(0);
    }

    public Optional<Server> find(BackendServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /**
     * Takes over the platform's list. A server that the lagging list no longer names stays until a use of it fails.
     */
    public void update(Collection<FleetList.BackendServer> listed) {
        for (FleetList.BackendServer entry : listed) {
            Server known = servers.get(entry.id());
            if (known == null && servers.size() >= MAX_SERVERS) {
                continue;
            }
            if (known == null) {
                known = new Server(entry);
                servers.put(entry.id(), known);
            }
            known.listed = entry;
            observeIncarnation(known, entry.incarnationNumber());
            boolean leaving = entry.state() == FleetList.LiveState.LEAVING
                    && entry.incarnationNumber() == known.incarnationNumber;
            if (leaving) {
                onLeaving(known.incarnation(), LeavingSource.LIST);
            }
        }
        chooseSubset();
        servers.values().forEach(this::refreshLeaving);
        changeListener.run();
    }

    /** Sets the number of engines that this host uses. */
    public void setSubsetSize(int newSubsetSizeRunners) {
        subset = new SubsetPolicy(newSubsetSizeRunners);
        chooseSubset();
    }

    private void chooseSubset() {
        List<EngineLocation> runners = servers.values().stream()
                .filter(Server::isEngine)
                .map(Server::runner)
                .toList();
        Set<BackendServerId> chosen = new HashSet<>();
        subset.choose(self, runners).forEach(runner -> {
            chosen.add(runner.server());
            loads.add(runner);
        });
        loads.engines().stream()
                .map(LoadView.EngineLoad::server)
                .filter(server -> !chosen.contains(server))
                .toList()
                .forEach(loads::remove);
    }

    /** Notes a full report. */
    public void onReport(Server server, EngineMessages.Report report, long nowNanos) {
        note(server, report.incarnation(), report.toLoad(), report.isLeaving(), nowNanos);
    }

    /** Notes the report that rides on a response; a malformed one is ignored. */
    public void onCompactReport(Server server, String header, long nowNanos) {
        CompactReport.parse(header)
                .ifPresent(report -> note(server, report.incarnation(), report.load(), report.leaving(), nowNanos));
    }

    /** Notes that a use of the server failed. It gets new work again after its next report. */
    public void onFailure(Server server) {
        server.suspect = true;
        loads.setLeaving(server.id(), true);
    }

    /** Notes that a process leaves, also one that is not listed yet; this stays for its lifetime. */
    public void onLeaving(BackendIncarnation process, LeavingSource source) {
        boolean isNews = leavingServers.onLeaving(process, source, System.nanoTime());
        Server server = servers.get(process.server());
        if (server != null) {
            refreshLeaving(server);
        }
        if (isNews) {
            leavingListener.onLeaving(process);
        }
    }

    /**
     * Checks the age of each report. A host that was paused or cut off may have missed that an engine leaves, so
     * an engine that was not heard from lately gets no new work.
     */
    public void refreshAges(long nowNanos) {
        for (Server server : engines()) {
            boolean recent = server.hasReported()
                    && leavingServers.mayTakeNewWork(server.incarnation(), server.heardAtNanos, nowNanos);
            boolean stale = !recent && !server.leaving;
            if (stale != server.stale) {
                server.stale = stale;
                refreshLeaving(server);
            }
        }
    }

    private void refreshLeaving(Server server) {
        server.leaving = !leavingServers.mayTakeNewWork(server.incarnation());
        loads.setLeaving(server.id(), !server.takesNewWork());
    }

    private void note(Server server, long incarnation, LoadReport load, boolean leaving, long nowNanos) {
        if (incarnation < server.incarnationNumber) {
            return;
        }
        observeIncarnation(server, incarnation);
        server.suspect = false;
        server.stale = false;
        server.capacityTokens = load.kvTotalTokens();
        server.heardAtNanos = nowNanos;
        loads.report(server.id(), load, nowNanos);
        if (leaving) {
            onLeaving(server.incarnation(), LeavingSource.REPORT);
        }
        refreshLeaving(server);
        changeListener.run();
    }

    private void observeIncarnation(Server server, long incarnation) {
        if (incarnation <= server.incarnationNumber) {
            return;
        }
        BackendIncarnation before = server.incarnation();
        server.incarnationNumber = incarnation;
        goneListener.accept(before);
        if (loads.get(server.id()) != null) {
            loads.remove(server.id());
            loads.add(server.runner());
        }
    }
}
