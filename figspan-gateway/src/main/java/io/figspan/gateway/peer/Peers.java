package io.figspan.gateway.peer;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.membership.Membership;
import io.figspan.cluster.membership.MembershipTuning;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.event.Part;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.work.PlacedWork;
import io.figspan.gateway.GatewayConfig;
import io.figspan.gateway.log.DecisionLog;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The other hosts: who serves, and what each has placed where. Membership finds them; besides, each host reports its
 * work to all others as soon as it changes and a few times a second at least, so that a host that falls silent is
 * noticed soon. All methods run on the event loop.
 */
public final class Peers {
    /** Changes within this time go into one report. */
    private static final long REPORT_DELAY_MS = 3;

    private static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Four reports; a host that is silent for longer is not named to callers. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Work of a silent host is counted for as long as most requests last. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final EventLoop loop;
    private final GatewayConfig config;
    private final DecisionLog log;
    private final RandomGenerator random;
    private final PeerListener listener;
    private final Supplier<PeerMessage.WorkReport> report;
    private final PeerPort port;
    private final List<PeerAddress> seeds;
    private final Map<HostId, Heard> heard = new HashMap<>();
    private Membership membership;
    private boolean reportScheduled;
    private long reportedAtNanos;

    /** The newest report of one host. */
    private static final class Heard {
        HostIncarnation incarnation;
        long sequence = -1;
        long atNanos;
    }

    /**
     * The other hosts.
     *
     * @param report makes the report of this host's work
     */
    public Peers(
            EventLoop loop,
            GatewayConfig config,
            DecisionLog log,
            RandomGenerator random,
            PeerListener listener,
            Supplier<PeerMessage.WorkReport> report) {
        this.loop = loop;
        this.config = config;
        this.log = log;
        this.random = random;
        this.listener = listener;
        this.report = report;
        this.port = new PeerPort(loop, log, this::receive);
        this.seeds = config.seeds().stream().map(Peers::addressOf).toList();
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
        membership = new Membership(self, seeds, MembershipTuning.DEFAULTS, random, nowNanos);
        log.info(Part.MEMBER, "joined").text("self", self).write();
    }

    /** Tells the others that this host takes no new callers. */
    public void leave() {
        if (membership != null) {
            carryOut(membership.leave(), null, System.nanoTime());
        }
    }

    /** The work of this host has changed; the others hear of it within a few milliseconds. */
    public void workChanged() {
        if (!reportScheduled) {
            reportScheduled = true;
            var unused = loop.schedule(this::sendReport, REPORT_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The other hosts that serve callers. */
    public List<Peer> serving(long nowNanos) {
        List<Peer> serving = new ArrayList<>();
        for (Peer peer : others()) {
            Heard last = heard.get(peer.host());
            if (last != null && nowNanos - last.atNanos < SILENCE_NANOS) {
                serving.add(peer);
            }
        }
        return serving;
    }

    /** Age of the oldest of the newest reports of each other host; 0 when there are none. */
    public long oldestReportMs(long nowNanos) {
        long oldestNanos = 0;
        for (Heard last : heard.values()) {
            oldestNanos = Math.max(oldestNanos, nowNanos - last.atNanos);
        }
        return TimeUnit.NANOSECONDS.toMillis(oldestNanos);
    }

    /** Number of hosts that share budgets, this one included. */
    public int hostCount() {
        return 1 + others().size();
    }

    private List<Peer> others() {
        if (membership == null) {
            return List.of();
        }
        return membership.live().stream()
                .filter(peer -> !peer.host().equals(config.host()))
                .toList();
    }

    /** Runs what is due; called at least every {@link Membership#TICK_NANOS}. */
    public void tick(long nowNanos) {
        if (membership == null) {
            return;
        }
        carryOut(membership.tick(nowNanos), null, nowNanos);
        if (nowNanos - reportedAtNanos >= REPORT_INTERVAL_NANOS) {
            workChanged();
        }
        forgetSilent(nowNanos);
    }

    private void forgetSilent(long nowNanos) {
        for (Iterator<Map.Entry<HostId, Heard>> hosts = heard.entrySet().iterator(); hosts.hasNext(); ) {
            Map.Entry<HostId, Heard> host = hosts.next();
            if (nowNanos - host.getValue().atNanos >= FORGET_NANOS) {
                hosts.remove();
                log.warn(Part.MEMBER, "hostSilent").text("host", host.getKey()).write();
                listener.onHostGone(host.getKey());
            }
        }
    }

    private void sendReport() {
        reportScheduled = false;
        if (membership == null || membership.isStopped()) {
            return;
        }
        reportedAtNanos = System.nanoTime();
        port.send(
                membership.self(),
                report.get(),
                others().stream().map(Peer::address).toList());
    }

    private void receive(Peer from, PeerMessage message) {
        if (from.host().equals(config.host())) {
            return;
        }
        long nowNanos = System.nanoTime();
        if (message instanceof PeerMessage.WorkReport work) {
            receiveWork(from, work, nowNanos);
        }
        if (membership != null) {
            carryOut(membership.receive(from, message, nowNanos), from, nowNanos);
        }
    }

    private void receiveWork(Peer from, PeerMessage.WorkReport work, long nowNanos) {
        Heard last = heard.computeIfAbsent(from.host(), ignored -> new Heard());
        boolean sameProcess = from.incarnation().equals(last.incarnation);
        if (sameProcess && work.sequence() <= last.sequence) {
            return;
        }
        last.incarnation = from.incarnation();
        last.sequence = work.sequence();
        last.atNanos = nowNanos;
        List<PlacedWork> placed = work.work();
        listener.onWork(from.host(), placed);
        listener.onNewerItems(from, work.settingsRevision(), work.serversRevision());
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

    /** A host that has just come learns at once what this one has placed. */
    private void memberChanged(ClusterAction.MemberChanged changed) {
        log.info(Part.MEMBER, changed.live() ? "hostLive" : "hostGone")
                .text("host", changed.peer())
                .write();
        if (changed.live()) {
            workChanged();
        }
    }

    /** The time of day went back between two starts of this host, so its number must go beyond the former one. */
    private void supersede(HostIncarnation newer, long nowNanos) {
        log.warn(Part.MEMBER, "incarnationRaised").text("above", newer).write();
        startMembership(newer.number() + 1, nowNanos);
    }

    private static PeerAddress addressOf(InetSocketAddress address) {
        return new PeerAddress(address.getHostString(), address.getPort());
    }
}
