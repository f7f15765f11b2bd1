package io.figspan.gateway.peer;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.membership.Membership;
import io.figspan.cluster.membership.MembershipConfig;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.event.Part;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.work.WorkNews;
import io.figspan.gateway.GatewayConfig;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.Activity;
import io.figspan.gateway.metrics.ProcessorTime;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The other hosts: who serves, and what each has placed where. Membership finds them; besides, each host reports its
 * work to those that place at the same engines, as soon as it changes and a few times a second at least, so that one of
 * these that falls silent is noticed soon. All methods run on the event loop.
 */
public final class Peers {
    /** Time between two looks at probes and silent hosts; well below {@link Membership#TICK_NANOS}. */
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    private static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(320);

    /** Three reports; a host that should report and is silent for longer is not named to callers. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Two reports; a host that is silent for longer is not relied on for news of the store. */
    private static final long SOURCE_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    /** Work of a silent host is counted for as long as most requests last. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** A host that ran so late was paused itself, and has yet to read what came meanwhile. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final EventLoop loop;
    private final GatewayConfig config;
    private final DecisionLog log;
    private final RandomGenerator random;
    private final PeerListener listener;
    private final WorkSource work;
    private final ProcessorTime processorTime;
    private final PeerPort port;
    private final List<PeerAddress> seeds;
    private final Map<HostId, Heard> heard = new HashMap<>();
    private Membership membership;
    private ScheduledFuture<?> reporting;
    private long reportDueNanos;
    private long tickedNanos;
    private long pausedNanos;
    /** The other live hosts; null when they have to be looked up again. */
    private List<Peer> others;

    /** The hosts that the latest report went to, and where they are; null when they have to be looked up again. */
    private Set<HostId> toldHosts;

    private List<PeerAddress> toldAddresses = List.of();

    private boolean hostsChanged;
    private long reportedAtNanos;

    /** The newest report of one host. */
    private static final class Heard {
        HostIncarnation incarnation;
        long sequence = -1;
        long atNanos;
        long storeAgeMs = -1;
        boolean hasWork = true;
        boolean reportedSilent;
    }

    /**
     * The other hosts.
     *
     * @param work this host's work and whom it concerns
     */
    public Peers(
            EventLoop loop,
            GatewayConfig config,
            DecisionLog log,
            RandomGenerator random,
            PeerListener listener,
            WorkSource work,
            ProcessorTime processorTime) {
        this.loop = loop;
        this.config = config;
        this.log = log;
        this.random = random;
        this.listener = listener;
        this.work = work;
        this.processorTime = processorTime;
        this.port = new PeerPort(loop, log, processorTime, this::receive);
        this.seeds = config.seeds().stream().map(Peers::addressOf).toList();
        this.tickedNanos = System.nanoTime();
        this.pausedNanos = tickedNanos;
    }

    public ChannelFuture listen() {
        return port.listen(config.peers());
    }

    /** Makes this host known to the others as one that serves callers. */
    public void join(long nowNanos) {
        if (membership == null) {
            startMembership(System.currentTimeMillis(), nowNanos);
        }
    }

    private void startMembership(long incarnationNumber, long nowNanos) {
        Peer self = new Peer(
                new HostIncarnation(config.host(), incarnationNumber), config.zone(), addressOf(config.peers()));
        membership = new Membership(self, seeds, MembershipConfig.DEFAULTS, random, nowNanos);
        othersChanged();
        log.info(Part.MEMBER, "joined").text("self", self).write();
    }

    /** Tells the others that this host takes no new callers. */
    public void leave() {
        if (membership != null) {
            carryOut(membership.leave(), null, System.nanoTime());
        }
    }

    /** The work of this host has changed; those that it concerns hear of it soon. */
    public void workChanged(WorkNews news) {
        reportWithin(news.delayMs());
    }

    /** Newer items of the store were read; the hosts that rely on this one hear of it at once. */
    public void itemsChanged() {
        reportWithin(0);
    }

    private void reportWithin(long delayMs) {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        if (reporting != null && reportDueNanos - dueNanos <= 0) {
            return;
        }
        if (reporting != null) {
            reporting.cancel(false);
        }
        reportDueNanos = dueNanos;
        reporting = loop.schedule(
                () -> processorTime.spend(Activity.TELLING_HOSTS, this::sendReport), delayMs, TimeUnit.MILLISECONDS);
    }

    /** The other hosts that serve callers. */
    public List<Peer> serving(long nowNanos) {
        List<Peer> serving = new ArrayList<>();
        Set<HostId> reporting = work.cell();
        for (Peer peer : others()) {
            boolean serves = reporting.contains(peer.host())
                    ? isHeard(peer.host(), nowNanos)
                    : !membership.isSuspect(peer.host());
            if (serves) {
                serving.add(peer);
            }
        }
        return serving;
    }

    private boolean isHeard(HostId host, long nowNanos) {
        Heard last = heard.get(host);
        return last != null && nowNanos - last.atNanos < SILENCE_NANOS;
    }

    /** Age of the oldest of the newest reports of each other host; 0 when there are none. */
    public long oldestReportMs(long nowNanos) {
        long oldestNanos = 0;
        for (Heard last : heard.values()) {
            oldestNanos = Math.max(oldestNanos, nowNanos - last.atNanos);
        }
        return TimeUnit.NANOSECONDS.toMillis(oldestNanos);
    }

    /** For each of the hosts that is heard and follows the store, the time since it was answered, in milliseconds. */
    public List<Long> storeAgesMs(Set<HostId> hosts, long nowNanos) {
        List<Long> agesMs = new ArrayList<>();
        heard.forEach((host, last) -> {
            boolean heardLately = nowNanos - last.atNanos < SOURCE_SILENCE_NANOS;
            if (hosts.contains(host) && last.storeAgeMs >= 0 && heardLately) {
                agesMs.add(last.storeAgeMs + TimeUnit.NANOSECONDS.toMillis(nowNanos - last.atNanos));
            }
        });
        return agesMs;
    }

    /** Number of hosts that share budgets, this one included. */
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

    private void othersChanged() {
        hostsChanged = true;
        others = null;
        toldHosts = null;
    }

    /** Runs what is due; called at least every {@link Membership#TICK_NANOS}. */
    public void tick(long nowNanos) {
        if (membership == null || nowNanos - tickedNanos < TICK_NANOS) {
            return;
        }
        if (nowNanos - tickedNanos > PAUSE_NANOS) {
            pausedNanos = nowNanos;
        }
        tickedNanos = nowNanos;
        carryOut(membership.tick(nowNanos), null, nowNanos);
        tellOfHosts();
        tellOfSilent(nowNanos);
        if (nowNanos - reportedAtNanos >= REPORT_INTERVAL_NANOS) {
            reportWithin(0);
        }
        forgetSilent(nowNanos);
    }

    /** Hosts come and go in groups; the listener hears of each group once. */
    private void tellOfHosts() {
        if (hostsChanged) {
            hostsChanged = false;
            Set<HostId> hosts = new HashSet<>(Set.of(config.host()));
            others().forEach(peer -> hosts.add(peer.host()));
            listener.onHostsChanged(hosts);
        }
    }

    /** Some of the hosts of the cell that are heard tell all others of those that are not. */
    private void tellOfSilent(long nowNanos) {
        if (nowNanos - pausedNanos < SILENCE_NANOS) {
            return;
        }
        Set<HostId> silent = new HashSet<>();
        Set<HostId> audible = new HashSet<>();
        heard.forEach((host, last) -> {
            if (isHeard(host, nowNanos)) {
                audible.add(host);
            } else if (!last.reportedSilent) {
                silent.add(host);
            }
        });
        if (silent.isEmpty()) {
            return;
        }
        Set<HostId> cell = work.cell();
        silent.retainAll(cell);
        audible.retainAll(cell);
        silent.forEach(host -> heard.get(host).reportedSilent = true);
        if (!silent.isEmpty() && SilenceRule.tells(config.host(), audible)) {
            carryOut(membership.suspectSilent(silent, nowNanos), null, nowNanos);
        }
    }

    private void forgetSilent(long nowNanos) {
        for (Iterator<Map.Entry<HostId, Heard>> hosts = heard.entrySet().iterator(); hosts.hasNext(); ) {
            Map.Entry<HostId, Heard> host = hosts.next();
            if (nowNanos - host.getValue().atNanos >= FORGET_NANOS) {
                hosts.remove();
                log.info(Part.MEMBER, "hostSilent")
                        .text("host", host.getKey())
                        .text("placesHere", work.cell().contains(host.getKey()))
                        .write();
                listener.onHostGone(host.getKey());
            }
        }
    }

    private void sendReport() {
        reporting = null;
        if (membership == null || membership.isStopped()) {
            return;
        }
        reportedAtNanos = System.nanoTime();
        PeerMessage.WorkReport report = work.report();
        port.send(membership.self(), report, addressesOf(work.audience(report.work())));
    }

    private List<PeerAddress> addressesOf(Set<HostId> audience) {
        if (!audience.equals(toldHosts)) {
            toldHosts = Set.copyOf(audience);
            toldAddresses = others().stream()
                    .filter(peer -> audience.contains(peer.host()))
                    .map(Peer::address)
                    .toList();
        }
        return toldAddresses;
    }

    private void receive(Peer from, PeerMessage message) {
        if (from.host().equals(config.host())) {
            return;
        }
        long nowNanos = System.nanoTime();
        if (message instanceof PeerMessage.WorkReport received) {
            receiveWork(from, received, nowNanos);
        }
        if (membership != null) {
            carryOut(membership.receive(from, message, nowNanos), from, nowNanos);
        }
    }

    private void receiveWork(Peer from, PeerMessage.WorkReport received, long nowNanos) {
        Heard last = heard.computeIfAbsent(from.host(), ignored -> new Heard());
        boolean sameProcess = from.incarnation().equals(last.incarnation);
        if (sameProcess && received.sequence() <= last.sequence) {
            return;
        }
        last.incarnation = from.incarnation();
        last.sequence = received.sequence();
        last.atNanos = nowNanos;
        last.reportedSilent = false;
        last.storeAgeMs = received.storeAgeMs();
        if (last.hasWork || !received.work().isEmpty()) {
            listener.onWork(from.host(), received.work());
        }
        last.hasWork = !received.work().isEmpty();
        listener.onNewerItems(from, received.settingsRevision(), received.serversRevision());
    }

    private void carryOut(List<ClusterAction> actions, Peer sender, long nowNanos) {
        for (ClusterAction action : actions) {
            if (action instanceof ClusterAction.Send send) {
                port.send(membership.self(), send.message(), List.of(send.to()));
            } else if (action instanceof ClusterAction.Reply reply && sender != null) {
                port.send(membership.self(), reply.message(), List.of(sender.address()));
            } else if (action instanceof ClusterAction.MemberChanged changed) {
                memberChanged(changed);
            } else if (action instanceof ClusterAction.Superseded superseded) {
                supersede(superseded.newer(), nowNanos);
            }
        }
    }

    /** A host that has just come hears of this one, and of what it has placed, at once. */
    private void memberChanged(ClusterAction.MemberChanged changed) {
        log.info(Part.MEMBER, changed.live() ? "hostLive" : "hostGone")
                .text("host", changed.peer())
                .write();
        othersChanged();
        if (changed.live()) {
            port.send(membership.self(), work.report(), List.of(changed.peer().address()));
        }
    }

    /** The time of day went back between two starts of this host, so its number must go beyond the former one. */
    private void supersede(HostIncarnation newer, long nowNanos) {
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
