package io.figspan.gateway.peer;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.membership.Membership;
import io.figspan.cluster.membership.MembershipConfig;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.work.WorkChange;
import io.figspan.gateway.GatewayConfig;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.Activity;
import io.figspan.gateway.metrics.ProcessorTime;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Tracks the other hosts: which of them serve callers, and the work that each has placed. Membership discovers them. In
 * addition, each host reports its work to the hosts that place at the same engines, on each change and at least a few
 * times a second, so that a silent one among these is detected soon. All methods run on the event loop.
 */
public final class PeerTracker implements PeerSender {
    /** Interval of probes and of checks for silent hosts; well below {@link Membership#TICK_NANOS}. */
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    /** Interval of this host's reports while nothing changes. */
    private static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(320);

    /**
     * A tick that is this late means that this host itself was paused and has yet to read the datagrams that arrived
     * meanwhile.
     */
    private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final GatewayConfig config;
    private final DecisionLog log;
    private final RandomGenerator random;
    private final PeerListener listener;
    private final WorkReportSource reportSource;
    private final PeerTransport transport;
    private final List<PeerAddress> seeds;
    private final ReportSchedule reportSchedule;
    private final PeerReports reports = new PeerReports();
    private Membership membership;
    private long lastTickNanos;
    private long pauseEndNanos;
    /** The other live hosts; null if they must be looked up again. */
    private List<Peer> others;

    /** Recipients of the latest report; null if their addresses must be looked up again. */
    private Set<HostId> lastRecipients;

    private List<PeerAddress> lastRecipientAddresses = List.of();

    private boolean hostsChanged;

    /**
     * Creates the tracker; other hosts learn of this one only after {@link #join}.
     *
     * @param reportSource provides this host's work and the hosts to report it to
     */
    public PeerTracker(
            EventLoop loop,
            GatewayConfig config,
            DecisionLog log,
            RandomGenerator random,
            PeerListener listener,
            WorkReportSource reportSource,
            ProcessorTime processorTime) {
        this.config = config;
        this.log = log;
        this.random = random;
        this.listener = listener;
        this.reportSource = reportSource;
        this.reportSchedule =
                new ReportSchedule(loop, () -> processorTime.measure(Activity.PEER_SEND, this::sendReport));
        this.transport = new PeerTransport(loop, log, processorTime, this::receive);
        this.seeds = config.seeds().stream().map(PeerTracker::addressOf).toList();
        this.lastTickNanos = System.nanoTime();
        this.pauseEndNanos = lastTickNanos;
    }

    public ChannelFuture listen() {
        return transport.listen(config.peers());
    }

    /** Announces this host to the others as one that serves callers. */
    public void join(long nowNanos) {
        if (membership == null) {
            startMembership(System.currentTimeMillis(), nowNanos);
        }
    }

    private void startMembership(long incarnationNumber, long nowNanos) {
        Peer self = new Peer(
                new HostIncarnation(config.host(), incarnationNumber), config.zone(), addressOf(config.peers()));
        membership = new Membership(self, seeds, MembershipConfig.DEFAULTS, random, nowNanos);
        invalidateOthers();
        log.info(Part.MEMBER, "joined").text("self", self).write();
    }

    /** Announces to the others that this host accepts no new callers. */
    public void leave() {
        if (membership != null) {
            execute(membership.leave(), null, System.nanoTime());
        }
    }

    /** Notifies the other hosts that a backend server drains, those of the cell at once. */
    public void announceLeaving(BackendIncarnation server) {
        if (membership != null) {
            execute(membership.backendLeaving(server, reportSource.cell()), null, System.nanoTime());
        }
    }

    /** The work of this host has changed; it is reported after the delay that {@code news} asks for. */
    public void workChanged(WorkChange news) {
        reportSchedule.within(news.delayMs());
    }

    /** Newer items of the store were read; the hosts that rely on this one are notified at once. */
    public void itemsChanged() {
        reportSchedule.within(0);
    }

    /** The other hosts that serve callers. */
    public List<Peer> servingPeers(long nowNanos) {
        List<Peer> serving = new ArrayList<>();
        Set<HostId> cell = reportSource.cell();
        for (Peer peer : others()) {
            boolean serves = cell.contains(peer.host())
                    ? reports.isReporting(peer.host(), nowNanos)
                    : !membership.isSuspect(peer.host());
            if (serves) {
                serving.add(peer);
            }
        }
        return serving;
    }

    /** The live hosts from which nothing was heard lately. */
    public Set<HostId> silentHosts(long nowNanos) {
        Set<HostId> silent = new HashSet<>();
        others().forEach(peer -> silent.add(peer.host()));
        servingPeers(nowNanos).forEach(peer -> silent.remove(peer.host()));
        return silent;
    }

    /** Age of the oldest among the latest reports of the other hosts, in milliseconds; 0 if there are none. */
    public long oldestReportAgeMs(long nowNanos) {
        return reports.oldestAgeMs(nowNanos);
    }

    /**
     * For each of the hosts that reports and watches the store, the time since the store last responded to it, in
     * milliseconds.
     */
    public List<Long> storeAgesMs(Set<HostId> hosts, long nowNanos) {
        return reports.storeAgesMs(hosts, nowNanos);
    }

    /** Whether most of the seed hosts are known, this one included. One side of a partition at most knows most. */
    public boolean knowsMostSeeds() {
        Set<PeerAddress> known = new HashSet<>(Set.of(addressOf(config.peers())));
        others().forEach(peer -> known.add(peer.address()));
        long knownSeeds = seeds.stream().filter(known::contains).count();
        return seeds.isEmpty() || 2 * knownSeeds > seeds.size();
    }

    /** Number of hosts that share budgets, including this one. */
    public int hostCount() {
        return 1 + others().size();
    }

    private List<Peer> others() {
        if (membership == null) {
            return List.of();
        }
        if (others == null) {
            others = membership.live().stream()
                    .filter(peer -> !peer.host().equals(config.host()))
                    .toList();
        }
        return others;
    }

    private void invalidateOthers() {
        hostsChanged = true;
        others = null;
        lastRecipients = null;
    }

    /** Runs the work that is due; must be called at least every {@link Membership#TICK_NANOS}. */
    public void tick(long nowNanos) {
        if (membership == null || nowNanos - lastTickNanos < TICK_NANOS) {
            return;
        }
        if (nowNanos - lastTickNanos > MIN_PAUSE_NANOS) {
            pauseEndNanos = nowNanos;
        }
        lastTickNanos = nowNanos;
        execute(membership.tick(nowNanos), null, nowNanos);
        notifyHostsChanged();
        reportSilentHosts(nowNanos);
        if (reportSchedule.sinceReportNanos(nowNanos) >= REPORT_INTERVAL_NANOS) {
            reportSchedule.within(0);
        }
        expireSilentHosts(nowNanos);
    }

    /** Notifies the listener of changed hosts once per tick, since hosts join and leave in groups. */
    private void notifyHostsChanged() {
        if (hostsChanged) {
            hostsChanged = false;
            Set<HostId> hosts = new HashSet<>(Set.of(config.host()));
            others().forEach(peer -> hosts.add(peer.host()));
            listener.onHostsChanged(hosts);
        }
    }

    /** Reports silent hosts of the cell to the fleet if this host is one of the reporters. */
    private void reportSilentHosts(long nowNanos) {
        if (nowNanos - pauseEndNanos < PeerReports.REPORT_TIMEOUT_NANOS) {
            return;
        }
        Set<HostId> cell = reportSource.cell();
        Set<HostId> silent = reports.takeNewlySilent(cell, nowNanos);
        if (silent.isEmpty()) {
            return;
        }
        Set<HostId> reporting = reports.reporting(nowNanos);
        reporting.retainAll(cell);
        if (SuspicionReporters.includes(config.host(), reporting)) {
            execute(membership.suspectSilent(silent, nowNanos), null, nowNanos);
        }
    }

    private void expireSilentHosts(long nowNanos) {
        for (HostId host : reports.takeExpired(nowNanos)) {
            log.info(Part.MEMBER, "hostSilent")
                    .text("host", host)
                    .text("placesHere", reportSource.cell().contains(host))
                    .write();
            listener.onHostSilent(host);
        }
    }

    private void sendReport() {
        if (membership == null || membership.isStopped()) {
            return;
        }
        PeerMessage.WorkReport report = reportSource.report();
        transport.send(membership.self(), report, addressesOf(reportSource.reportRecipients(report.work())));
    }

    private List<PeerAddress> addressesOf(Set<HostId> reportRecipients) {
        if (!reportRecipients.equals(lastRecipients)) {
            lastRecipients = Set.copyOf(reportRecipients);
            lastRecipientAddresses = others().stream()
                    .filter(peer -> reportRecipients.contains(peer.host()))
                    .map(Peer::address)
                    .toList();
        }
        return lastRecipientAddresses;
    }

    private void receive(Peer from, PeerMessage message) {
        if (from.host().equals(config.host())) {
            return;
        }
        long nowNanos = System.nanoTime();
        if (message instanceof PeerMessage.WorkReport received) {
            receiveWork(from, received, nowNanos);
        } else if (message instanceof PeerMessage.CrashEvidence evidence) {
            listener.onCrashEvidence(evidence);
        } else if (message instanceof PeerMessage.ServerLimitUses uses) {
            listener.onServerLimitUses(from, uses);
        } else if (message instanceof PeerMessage.ColdServerUses uses) {
            listener.onColdServerUses(from, uses);
        }
        if (membership != null) {
            execute(membership.receive(from, message, nowNanos), from, nowNanos);
        }
    }

    private void receiveWork(Peer from, PeerMessage.WorkReport received, long nowNanos) {
        PeerReports.Reception reception = reports.receive(from.incarnation(), received, nowNanos);
        if (reception == PeerReports.Reception.OUTDATED) {
            return;
        }
        if (reception == PeerReports.Reception.WORK_CHANGED) {
            listener.onWorkReport(from.host(), received.work());
        }
        listener.onNewerItems(from, received.settingsRevision(), received.serversRevision());
    }

    private void execute(List<ClusterAction> actions, Peer sender, long nowNanos) {
        for (ClusterAction action : actions) {
            if (action instanceof ClusterAction.Send send) {
                transport.send(membership.self(), send.message(), List.of(send.to()));
            } else if (action instanceof ClusterAction.Reply reply && sender != null) {
                transport.send(membership.self(), reply.message(), List.of(sender.address()));
            } else if (action instanceof ClusterAction.MemberChanged changed) {
                memberChanged(changed);
            } else if (action instanceof ClusterAction.BackendLeaving leaving) {
                listener.onServerLeaving(leaving.backend());
            } else if (action instanceof ClusterAction.Superseded superseded) {
                rejoinAbove(superseded.newer(), nowNanos);
            }
        }
    }

    /** Logs the change. A host that has just joined gets this host's report at once. */
    private void memberChanged(ClusterAction.MemberChanged changed) {
        log.info(Part.MEMBER, changed.live() ? "hostLive" : "hostGone")
                .text("host", changed.peer())
                .write();
        invalidateOthers();
        if (changed.live()) {
            transport.send(
                    membership.self(),
                    reportSource.report(),
                    List.of(changed.peer().address()));
            listener.onHostJoined(changed.peer());
        }
    }

    // Messages of other components

    /** Sends a message to these hosts. */
    public void send(PeerMessage message, List<Peer> hosts) {
        if (membership != null && !hosts.isEmpty()) {
            transport.send(
                    membership.self(),
                    message,
                    hosts.stream().map(Peer::address).toList());
        }
    }

    @Override
    public void sendTo(Set<HostId> hosts, PeerMessage message) {
        send(
                message,
                others().stream().filter(peer -> hosts.contains(peer.host())).toList());
    }

    @Override
    public void sendToAll(PeerMessage message) {
        send(message, others());
    }

    @Override
    public void sendToSome(PeerMessage message, int hostCount) {
        send(message, membership == null ? List.of() : membership.randomPeers(hostCount));
    }

    /** Joins again with a higher incarnation number: the wall clock went back between two starts of this host. */
    private void rejoinAbove(HostIncarnation newer, long nowNanos) {
        log.warn(Part.MEMBER, "incarnationRaised").text("above", newer).write();
        startMembership(newer.number() + 1, nowNanos);
    }

    private static PeerAddress addressOf(InetSocketAddress address) {
        String literal = address.isUnresolved()
                ? address.getHostString()
                : address.getAddress().getHostAddress();
        return new PeerAddress(literal, address.getPort());
    }
}
