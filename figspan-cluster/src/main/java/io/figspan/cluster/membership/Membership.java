package io.figspan.cluster.membership;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.message.MemberUpdate;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.Piggyback;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.SettingsVersion;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Group membership and failure detection after SWIM (Das et al., 2002) with Lifeguard's local health (Dadgar et al.,
 * 2017). Not thread-safe: a single driver calls it with monotonic times and executes the returned actions in order.
 */
public final class Membership {
    /** Maximum time between two ticks of the driver. */
    public static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Hosts that a leaving notice is sent to at once; three reach 400 hosts in a few hops. */
    private static final int NOTICE_FANOUT = 3;

    /** Hosts that a graceful leave is sent to at once. */
    private static final int LEAVE_FANOUT = 6;

    /** Probe number of an unsolicited acknowledgement. */
    private static final long NO_PROBE = 0;

    private static final int MAX_PAGE_MEMBERS = 100;
    private static final int MAX_QUEUED_UPDATES = 1_024;

    private static final long JOIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Mean time between contacts with seeds once this host has joined, to rediscover hosts after a partition. */
    private static final long SEED_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Peer self;
    private final List<PeerAddress> seeds;
    private final MembershipConfig config;
    private final RandomGenerator random;
    private final MemberTable table;
    private final ProbeSchedule schedule;
    private final LocalHealth localHealth = new LocalHealth();
    private final IndirectProbes indirectProbes = new IndirectProbes();
    private final LeavingNotices notices = new LeavingNotices();
    private final UpdateQueue<HostId, MemberUpdate> gossip = new UpdateQueue<>(MAX_QUEUED_UPDATES);
    private final AntiEntropyTrigger antiEntropyTrigger;
    private SettingsVersion settings = SettingsVersion.NONE;
    private int refutation;
    private long probeCount;
    private Probe probe;
    private long nextProbeAtNanos;
    private long nextSeedAtNanos;
    private long lastTickNanos;
    private long lastHeardNanos;
    private boolean joined;
    /** False only if no member is suspect, so that a tick does not scan the table then. */
    private boolean hasSuspects;

    private boolean stopped;

    public Membership(
            Peer self, List<PeerAddress> seeds, MembershipConfig config, RandomGenerator random, long nowNanos) {
        this.self = self;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
        this.config = config;
        this.random = random;
        this.table = new MemberTable(config.maxMembers());
        this.schedule = new ProbeSchedule(random);
        this.nextProbeAtNanos = nowNanos + random.nextLong(config.probeIntervalNanos());
        this.antiEntropyTrigger = new AntiEntropyTrigger(random, nowNanos);
        this.nextSeedAtNanos = nowNanos;
        this.lastTickNanos = nowNanos;
        this.lastHeardNanos = nowNanos;
    }

    // View

    public Peer self() {
        return self;
    }

    /** Live members in the order of their host ids; includes this process until it leaves or is superseded. */
    public List<Peer> live() {
        List<Peer> live = table.live();
        if (!stopped) {
            int position = Collections.binarySearch(live, self, Comparator.comparing(Peer::host));
            live.add(position < 0 ? -position - 1 : position, self);
        }
        return live;
    }

    /** Live members by availability zone. */
    public SortedMap<AvailabilityZoneId, List<Peer>> liveByZone() {
        SortedMap<AvailabilityZoneId, List<Peer>> byZone = new TreeMap<>();
        for (Peer peer : live()) {
            byZone.computeIfAbsent(peer.zone(), ignored -> new ArrayList<>()).add(peer);
        }
        return byZone;
    }

    /** The live process with this host id. */
    public Optional<Peer> liveAt(HostId host) {
        if (host.equals(self.host())) {
            return stopped ? Optional.empty() : Optional.of(self);
        }
        return table.find(host).filter(Member::isLive).map(Member::peer);
    }

    /** Whether a member is suspected to be dead and still counts as live. */
    public boolean isSuspect(HostId host) {
        return table.find(host)
                .filter(member -> member.state() == Member.State.SUSPECT)
                .isPresent();
    }

    /** Up to {@code count} other live members chosen at random. */
    public List<Peer> randomPeers(int count) {
        return schedule.randomLive(table, count, self.host()).stream()
                .map(Member::peer)
                .toList();
    }

    public boolean isLeaving(BackendIncarnation backend) {
        return notices.isLeaving(backend);
    }

    /** Time since the last message from any other host, for decisions that need a recent view. */
    public long viewAgeNanos(long nowNanos) {
        return nowNanos - lastHeardNanos;
    }

    /** Lifeguard's local health score: 0 is healthy, up to 8 when this process seems to be slow itself. */
    public int localHealthScore() {
        return localHealth.score();
    }

    /** Whether this process has left, or was superseded by a newer incarnation of its host. */
    public boolean isStopped() {
        return stopped;
    }

    // Inputs

    /** Sets the settings version that outgoing frames carry. */
    public void settingsInForce(SettingsVersion version) {
        settings = version;
    }

    /** Runs due timers. Call it at least every {@link #TICK_NANOS}; a much later call counts as a pause. */
    public List<ClusterAction> tick(long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        detectPause(nowNanos);
        if (stopped) {
            return actions;
        }
        answerExpiredIndirectProbes(nowNanos, actions);
        contactSeedIfDue(nowNanos, actions);
        expireSuspicions(nowNanos, actions);
        probeIndirectlyIfDue(nowNanos, actions);
        if (nowNanos - nextProbeAtNanos >= 0) {
            finishProbe(nowNanos);
            startProbe(nowNanos, actions);
            table.removeGoneBefore(nowNanos, config.goneRetentionNanos());
        }
        return actions;
    }

    /** Handles a membership message. Any other message only shows that its sender is alive. */
    public List<ClusterAction> receive(Peer from, PeerMessage message, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (stopped || from.host().equals(self.host())) {
            return actions;
        }
        lastHeardNanos = nowNanos;
        addSender(from, actions);
        if (message instanceof PeerMessage.Ping ping) {
            apply(from, ping.piggyback(), nowNanos, actions);
            actions.add(
                    new ClusterAction.Reply(new PeerMessage.Ack(ping.probe(), true, piggybackFor(from.incarnation()))));
        } else if (message instanceof PeerMessage.Ack ack) {
            apply(from, ack.piggyback(), nowNanos, actions);
            handleAck(from, ack, actions);
        } else if (message instanceof PeerMessage.PingRequest request) {
            apply(from, request.piggyback(), nowNanos, actions);
            probeFor(from, request, nowNanos, actions);
        } else if (message instanceof PeerMessage.MembersPull pull) {
            actions.add(new ClusterAction.Reply(membersPage(pull.after())));
            if (pull.after().isEmpty()) {
                notices.batches()
                        .forEach(batch -> actions.add(new ClusterAction.Reply(new PeerMessage.LeavingNotice(batch))));
            }
        } else if (message instanceof PeerMessage.MembersPage page) {
            applyPage(page, nowNanos, actions);
        } else if (message instanceof PeerMessage.LeavingNotice notice) {
            applyLeavingNotices(notice.leaving(), actions);
        }
        return actions;
    }

    /** Gossips that a backend server is leaving, as observed by this process. */
    public List<ClusterAction> backendLeaving(BackendIncarnation backend) {
        List<ClusterAction> actions = new ArrayList<>();
        applyLeavingNotices(List.of(backend), actions);
        return actions;
    }

    /**
     * Gossips that a backend server is leaving, and notifies these hosts at once: those that use the server, so that
     * none of them depends on the links of a third host.
     */
    public List<ClusterAction> backendLeaving(BackendIncarnation backend, Set<HostId> hostsUsing) {
        List<ClusterAction> actions = backendLeaving(backend);
        List<Peer> users = live().stream()
                .filter(peer -> hostsUsing.contains(peer.host()) && !peer.host().equals(self.host()))
                .toList();
        actions.addAll(LeavingNotices.toEach(users, List.of(backend)));
        return actions;
    }

    /** Leaves gracefully and notifies some members at once. Afterwards this object does nothing. */
    public List<ClusterAction> leave() {
        List<ClusterAction> actions = new ArrayList<>();
        if (stopped) {
            return actions;
        }
        MemberUpdate left = new MemberUpdate.Gone(self.incarnation(), refutation, true);
        Piggyback notice = new Piggyback(settings, 0, List.of(left), List.of());
        for (Member member : schedule.randomLive(table, LEAVE_FANOUT, self.host())) {
            actions.add(new ClusterAction.Send(member.peer().address(), new PeerMessage.Ping(++probeCount, notice)));
        }
        stopped = true;
        return actions;
    }

    /**
     * Suspects hosts whose regular reports to this host have stopped and broadcasts the suspicions at once, since
     * probes take seconds to find many simultaneous deaths. Live hosts refute them. Does nothing after a leave.
     */
    public List<ClusterAction> suspectSilent(Collection<HostId> hosts, long nowNanos) {
        if (stopped) {
            return List.of();
        }
        List<MemberUpdate> suspicions = new ArrayList<>();
        for (Member member : List.copyOf(table.all())) {
            if (hosts.contains(member.host()) && member.state() == Member.State.ALIVE) {
                suspect(member, member.refutation(), self.host(), nowNanos);
                suspicions.add(member.toUpdate(self.host()));
            }
        }
        List<ClusterAction> actions = new ArrayList<>();
        if (!suspicions.isEmpty()) {
            broadcast(suspicions, actions);
        }
        return actions;
    }

    /** Sends updates to all live hosts in a message that needs no answer. */
    private void broadcast(List<MemberUpdate> newUpdates, List<ClusterAction> actions) {
        Piggyback piggyback = new Piggyback(settings, table.liveDigest(self.incarnation()), newUpdates, List.of());
        PeerMessage message = new PeerMessage.Ack(NO_PROBE, false, piggyback);
        for (Member member : schedule.randomLive(table, table.liveCount(), self.host())) {
            actions.add(new ClusterAction.Send(member.peer().address(), message));
        }
    }

    // Probing

    private void detectPause(long nowNanos) {
        long delayNanos = nowNanos - lastTickNanos - TICK_NANOS;
        lastTickNanos = nowNanos;
        if (delayNanos <= config.pauseThresholdNanos()) {
            return;
        }
        localHealth.worsen();
        probe = null;
        nextProbeAtNanos = nowNanos;
        for (Member member : table.all()) {
            if (member.suspicion() != null) {
                member.suspicion().extend(delayNanos);
            }
        }
    }

    private void contactSeedIfDue(long nowNanos, List<ClusterAction> actions) {
        if (seeds.isEmpty() || nowNanos - nextSeedAtNanos < 0) {
            return;
        }
        PeerAddress seed = seeds.get(random.nextInt(seeds.size()));
        if (!joined) {
            nextSeedAtNanos = nowNanos + JOIN_INTERVAL_NANOS / 2 + random.nextLong(JOIN_INTERVAL_NANOS);
            actions.add(new ClusterAction.Send(seed, new PeerMessage.MembersPull("")));
            return;
        }
        nextSeedAtNanos = nowNanos + SEED_INTERVAL_NANOS / 2 + random.nextLong(SEED_INTERVAL_NANOS);
        boolean known = table.all().stream()
                .anyMatch(member -> member.isLive() && member.peer().address().equals(seed));
        if (!known) {
            actions.add(new ClusterAction.Send(seed, new PeerMessage.Ping(++probeCount, piggybackFor(null))));
        }
    }

    private void startProbe(long nowNanos, List<ClusterAction> actions) {
        nextProbeAtNanos = nowNanos + localHealth.scaleTimeout(config.probeIntervalNanos());
        Optional<Member> target = schedule.nextTarget(table);
        if (target.isEmpty()) {
            return;
        }
        probe = new Probe(++probeCount, target.get(), nowNanos);
        Piggyback piggyback = piggybackFor(target.get().peer().incarnation());
        actions.add(
                new ClusterAction.Send(target.get().peer().address(), new PeerMessage.Ping(probe.number, piggyback)));
    }

    private void probeIndirectlyIfDue(long nowNanos, List<ClusterAction> actions) {
        if (probe == null || probe.reached || probe.helpersAsked || !probe.target.isLive()) {
            return;
        }
        if (nowNanos - probe.startNanos < localHealth.scaleTimeout(config.ackTimeoutNanos())) {
            return;
        }
        probe.helpersAsked = true;
        HostId target = probe.target.host();
        for (Member helper : schedule.randomLive(table, config.helpers(), target)) {
            probe.pendingHelpers++;
            actions.add(new ClusterAction.Send(
                    helper.peer().address(),
                    new PeerMessage.PingRequest(
                            probe.number,
                            probe.target.peer().incarnation(),
                            piggybackFor(helper.peer().incarnation()))));
        }
    }

    private void finishProbe(long nowNanos) {
        Probe finished = probe;
        probe = null;
        if (finished == null || !isCurrent(finished.target) || !finished.target.isLive()) {
            return;
        }
        if (finished.reached) {
            localHealth.improve();
            return;
        }
        if (finished.pendingHelpers > 0) {
            localHealth.worsen();
        }
        Member target = finished.target;
        suspect(target, target.refutation(), self.host(), nowNanos);
    }

    private void handleAck(Peer from, PeerMessage.Ack ack, List<ClusterAction> actions) {
        indirectProbes
                .complete(ack.probe())
                .ifPresent(pending -> actions.add(new ClusterAction.Send(
                        pending.requester(), new PeerMessage.Ack(pending.requesterProbe(), true, piggybackFor(null)))));
        if (probe == null || probe.number != ack.probe()) {
            return;
        }
        if (!from.host().equals(probe.target.host())) {
            probe.pendingHelpers--;
        }
        probe.reached |= ack.reached();
    }

    private void probeFor(Peer from, PeerMessage.PingRequest request, long nowNanos, List<ClusterAction> actions) {
        Optional<Member> target = table.find(request.target().host());
        long number = ++probeCount;
        long deadlineNanos = nowNanos + config.ackTimeoutNanos();
        IndirectProbes.Pending pending = new IndirectProbes.Pending(from.address(), request.probe(), deadlineNanos);
        if (target.isEmpty() || !indirectProbes.add(number, pending)) {
            actions.add(new ClusterAction.Reply(
                    new PeerMessage.Ack(request.probe(), false, piggybackFor(from.incarnation()))));
            return;
        }
        actions.add(new ClusterAction.Send(
                target.get().peer().address(),
                new PeerMessage.Ping(number, piggybackFor(target.get().peer().incarnation()))));
    }

    private void answerExpiredIndirectProbes(long nowNanos, List<ClusterAction> actions) {
        for (IndirectProbes.Pending pending : indirectProbes.removeExpired(nowNanos)) {
            actions.add(new ClusterAction.Send(
                    pending.requester(), new PeerMessage.Ack(pending.requesterProbe(), false, piggybackFor(null))));
        }
    }

    // Member updates

    private void addSender(Peer from, List<ClusterAction> actions) {
        Optional<Member> known = table.find(from.host());
        if (known.isEmpty() || from.incarnation().supersedes(known.get().peer().incarnation())) {
            add(from, 0, actions);
        }
        joined = true;
    }

    private void apply(Peer from, Piggyback piggyback, long nowNanos, List<ClusterAction> actions) {
        for (MemberUpdate update : piggyback.updates()) {
            apply(update, nowNanos, actions);
        }
        applyLeavingNotices(piggyback.leaving(), actions);
        if (antiEntropyTrigger.isDue(piggyback.viewDigest(), table.liveDigest(self.incarnation()), nowNanos)) {
            actions.add(new ClusterAction.Send(from.address(), new PeerMessage.MembersPull("")));
        }
    }

    private void apply(MemberUpdate update, long nowNanos, List<ClusterAction> actions) {
        HostIncarnation about = update.incarnation();
        if (about.host().equals(self.host())) {
            applyAboutSelf(update, actions);
            return;
        }
        Optional<Member> known = table.find(about.host());
        if (update instanceof MemberUpdate.Alive alive) {
            if (known.isEmpty() || about.supersedes(known.get().peer().incarnation())) {
                add(alive.peer(), alive.refutation(), actions);
            } else if (isAbout(known.get(), about)
                    && alive.refutation() > known.get().refutation()) {
                markAlive(known.get(), alive.refutation(), actions);
            }
            return;
        }
        if (known.isEmpty() || !isAbout(known.get(), about)) {
            return;
        }
        Member member = known.get();
        if (update instanceof MemberUpdate.Suspect suspect) {
            if (suspect.refutation() >= member.refutation()) {
                suspect(member, suspect.refutation(), suspect.by(), nowNanos);
            }
        } else if (update instanceof MemberUpdate.Gone gone) {
            if (gone.refutation() >= member.refutation()) {
                markGone(member, gone.refutation(), gone.left(), nowNanos, actions);
            }
        }
    }

    private void applyAboutSelf(MemberUpdate update, List<ClusterAction> actions) {
        HostIncarnation about = update.incarnation();
        if (about.supersedes(self.incarnation())) {
            if (!stopped) {
                stopped = true;
                actions.add(new ClusterAction.Superseded(about));
            }
            return;
        }
        boolean needsRefutation = about.equals(self.incarnation()) && !(update instanceof MemberUpdate.Alive);
        if (needsRefutation && update.refutation() >= refutation) {
            refutation = update.refutation() + 1;
            localHealth.worsen();
            gossip.put(self.host(), new MemberUpdate.Alive(self, refutation));
        }
    }

    private void add(Peer peer, int refutationCount, List<ClusterAction> actions) {
        Member added = table.add(peer, refutationCount);
        if (added == null) {
            actions.add(new ClusterAction.MemberTableFull(peer));
            return;
        }
        gossip.put(peer.host(), new MemberUpdate.Alive(peer, refutationCount));
        actions.add(new ClusterAction.MemberChanged(peer, true));
    }

    private void markAlive(Member member, int refutationCount, List<ClusterAction> actions) {
        boolean changed = table.applyChange(member, () -> member.markAlive(refutationCount));
        gossip.put(member.host(), member.toUpdate(self.host()));
        if (changed) {
            actions.add(new ClusterAction.MemberChanged(member.peer(), true));
        }
    }

    private void suspect(Member member, int refutationCount, HostId by, long nowNanos) {
        if (!member.isLive()) {
            return;
        }
        boolean startsSuspicion = member.state() == Member.State.ALIVE || refutationCount > member.refutation();
        if (startsSuspicion) {
            Suspicion started =
                    new Suspicion(nowNanos, config.probeIntervalNanos(), table.liveCount() + 1, localHealth.score());
            table.applyChange(member, () -> member.markSuspect(refutationCount, started));
            hasSuspects = true;
        }
        if (member.suspicion().confirm(by)) {
            gossip.put(member.host(), new MemberUpdate.Suspect(member.peer().incarnation(), refutationCount, by));
        }
    }

    private void markGone(
            Member member, int refutationCount, boolean left, long nowNanos, List<ClusterAction> actions) {
        boolean changed = table.applyChange(member, () -> {
            if (member.isLive()) {
                member.markGone(refutationCount, left, nowNanos);
            }
        });
        if (changed) {
            gossip.put(member.host(), member.toUpdate(self.host()));
            actions.add(new ClusterAction.MemberChanged(member.peer(), false));
        }
    }

    private void expireSuspicions(long nowNanos, List<ClusterAction> actions) {
        if (!hasSuspects) {
            return;
        }
        hasSuspects = false;
        List<Member> expired = new ArrayList<>();
        for (Member member : table.all()) {
            if (member.suspicion() != null) {
                hasSuspects = true;
                if (member.suspicion().hasExpired(nowNanos)) {
                    expired.add(member);
                }
            }
        }
        expired.forEach(member -> markGone(member, member.refutation(), false, nowNanos, actions));
    }

    private static boolean isAbout(Member member, HostIncarnation incarnation) {
        return member.peer().incarnation().equals(incarnation);
    }

    private boolean isCurrent(Member member) {
        return table.find(member.host()).filter(current -> current == member).isPresent();
    }

    // Piggybacking and anti-entropy

    /**
     * Piggyback of a frame to {@code to}, or to any host if null. A suspicion or death of the receiver, or a newer
     * incarnation of it, comes first, so that the receiver can refute it or stop.
     */
    private Piggyback piggybackFor(HostIncarnation to) {
        List<MemberUpdate> carried = new ArrayList<>();
        Optional<Member> receiver = to == null ? Optional.empty() : table.find(to.host());
        receiver.filter(member -> member.state() != Member.State.ALIVE || !isAbout(member, to))
                .ifPresent(member -> carried.add(member.toUpdate(self.host())));
        carried.addAll(gossip.take(
                config.maxUpdates() - carried.size(),
                config.maxUpdateBytes(),
                table.liveCount() + 1,
                UpdateQueue::sizeBytes));
        List<BackendIncarnation> leaving = notices.takeForFrame(table.liveCount() + 1);
        return new Piggyback(settings, table.liveDigest(self.incarnation()), carried, leaving);
    }

    private PeerMessage.MembersPage membersPage(String after) {
        boolean isFirstPage = after.isEmpty();
        return table.livePage(
                after, isFirstPage ? List.of(new MemberUpdate.Alive(self, refutation)) : List.of(), MAX_PAGE_MEMBERS);
    }

    /** Members first learnt from a page are not gossiped, because other hosts already know them. */
    private void applyPage(PeerMessage.MembersPage page, long nowNanos, List<ClusterAction> actions) {
        for (MemberUpdate update : page.updates()) {
            boolean known = table.find(update.incarnation().host()).isPresent();
            apply(update, nowNanos, actions);
            if (!known) {
                gossip.remove(update.incarnation().host());
            }
            table.find(update.incarnation().host())
                    .filter(member -> isAbout(member, update.incarnation()) && !member.isLive())
                    .ifPresent(member -> schedule.addDisputed(member.host()));
        }
        if (page.more() && !page.updates().isEmpty()) {
            MemberUpdate last = page.updates().get(page.updates().size() - 1);
            actions.add(new ClusterAction.Reply(
                    new PeerMessage.MembersPull(last.incarnation().host().value())));
        }
    }

    private void applyLeavingNotices(List<BackendIncarnation> leaving, List<ClusterAction> actions) {
        List<BackendIncarnation> newlyLeaving = notices.add(leaving);
        if (!newlyLeaving.isEmpty()) {
            newlyLeaving.forEach(backend -> actions.add(new ClusterAction.BackendLeaving(backend)));
            actions.addAll(LeavingNotices.toEach(randomPeers(NOTICE_FANOUT), newlyLeaving));
        }
    }
}
