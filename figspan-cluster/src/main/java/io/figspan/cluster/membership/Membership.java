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
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Membership of one process after SWIM (Das et al., 2002) with Lifeguard's local health (Dadgar et al., 2017). It is
 * not thread-safe: one driver passes in messages and ticks with the monotonic time and carries out the actions.
 */
public final class Membership {
    /** Longest time between two ticks of the driver. */
    public static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Hosts told at once about a leaving backend server; three reach 400 hosts in a few hops. */
    private static final int NOTICE_FANOUT = 3;

    /** Hosts told at once about a graceful leave. */
    private static final int LEAVE_FANOUT = 6;

    /** Number of an acknowledgement that answers no probe. */
    private static final long NO_PROBE = 0;

    private static final int MAX_PAGE_MEMBERS = 100;
    private static final int MAX_QUEUED_UPDATES = 1_024;

    private static final long JOIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** While other members are known, seeds are only asked this often, to find a part of the fleet that was cut off. */
    private static final long SEED_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Peer self;
    private final List<PeerAddress> seeds;
    private final MembershipConfig tuning;
    private final RandomGenerator random;
    private final MemberTable table;
    private final ProbeSchedule schedule;
    private final LocalHealth health = new LocalHealth();
    private final IndirectProbes indirectProbes = new IndirectProbes();
    private final LeavingNotices notices = new LeavingNotices();
    private final UpdateQueue<HostId, MemberUpdate> updates = new UpdateQueue<>(MAX_QUEUED_UPDATES);
    private final AntiEntropyTrigger comparison;
    private SettingsVersion settings = SettingsVersion.NONE;
    private int refutation;
    private long lastProbe;
    private Probe probe;
    private long nextProbeAtNanos;
    private long nextSeedAtNanos;
    private long lastTickNanos;
    private long lastHeardNanos;
    private boolean joined;
    /** False only while no member is suspect, so that a tick at rest does not scan the table. */
    private boolean hasSuspects;

    private boolean stopped;

    public Membership(
            Peer self, List<PeerAddress> seeds, MembershipConfig tuning, RandomGenerator random, long nowNanos) {
        this.self = self;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
        this.tuning = tuning;
        this.random = random;
        this.table = new MemberTable(tuning.maxMembers());
        this.schedule = new ProbeSchedule(random);
        this.nextProbeAtNanos = nowNanos + random.nextLong(tuning.probeIntervalNanos());
        this.comparison = new AntiEntropyTrigger(random, nowNanos);
        this.nextSeedAtNanos = nowNanos;
        this.lastTickNanos = nowNanos;
        this.lastHeardNanos = nowNanos;
    }

    // View

    public Peer self() {
        return self;
    }

    /** Live members in the order of their host ids, this process included unless it was superseded. */
    public List<Peer> live() {
        List<Peer> live = new ArrayList<>();
        boolean selfAdded = stopped;
        for (Member member : table.all()) {
            if (!selfAdded && member.host().compareTo(self.host()) > 0) {
                live.add(self);
                selfAdded = true;
            }
            if (member.isLive()) {
                live.add(member.peer());
            }
        }
        if (!selfAdded) {
            live.add(self);
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

    /** The live process at a seat. */
    public Optional<Peer> liveAt(HostId host) {
        if (host.equals(self.host())) {
            return stopped ? Optional.empty() : Optional.of(self);
        }
        return table.find(host).filter(Member::isLive).map(Member::peer);
    }

    /** Whether a live member did not answer lately, and may be dead. */
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

    /** Time since any other process was last heard; a decision that needs a fresh view checks it before it acts. */
    public long viewAgeNanos(long nowNanos) {
        return nowNanos - lastHeardNanos;
    }

    /** Lifeguard's local health: 0 when this process runs on time, up to 8 when it seems to be the slow one. */
    public int localHealthScore() {
        return health.score();
    }

    /** Whether a process with a higher incarnation has this seat, or this process left. */
    public boolean isStopped() {
        return stopped;
    }

    // Inputs

    /** The settings version that outgoing frames name from now on. */
    public void settingsInForce(SettingsVersion version) {
        settings = version;
    }

    /** Runs what is due. The driver calls it every {@link #TICK_NANOS}; a later call counts as a pause. */
    public List<ClusterAction> tick(long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        noticePause(nowNanos);
        if (stopped) {
            return actions;
        }
        answerExpiredRelays(nowNanos, actions);
        joinIfDue(nowNanos, actions);
        expireSuspicions(nowNanos, actions);
        askHelpersIfDue(nowNanos, actions);
        if (nowNanos - nextProbeAtNanos >= 0) {
            finishProbe(nowNanos);
            startProbe(nowNanos, actions);
            table.removeGoneBefore(nowNanos, tuning.goneRetentionNanos());
        }
        return actions;
    }

    /** Takes a membership message; other kinds only count as a sign of life. */
    public List<ClusterAction> receive(Peer from, PeerMessage message, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (stopped || from.host().equals(self.host())) {
            return actions;
        }
        lastHeardNanos = nowNanos;
        hearFrom(from, actions);
        if (message instanceof PeerMessage.Ping ping) {
            apply(from, ping.piggyback(), nowNanos, actions);
            actions.add(
                    new ClusterAction.Reply(new PeerMessage.Ack(ping.probe(), true, piggybackFor(from.incarnation()))));
        } else if (message instanceof PeerMessage.Ack ack) {
            apply(from, ack.piggyback(), nowNanos, actions);
            acknowledge(from, ack, actions);
        } else if (message instanceof PeerMessage.PingRequest request) {
            apply(from, request.piggyback(), nowNanos, actions);
            relay(from, request, nowNanos, actions);
        } else if (message instanceof PeerMessage.MembersPull pull) {
            actions.add(new ClusterAction.Reply(page(pull.after())));
            if (pull.after().isEmpty()) {
                notices.lists()
                        .forEach(known -> actions.add(new ClusterAction.Reply(new PeerMessage.LeavingNotice(known))));
            }
        } else if (message instanceof PeerMessage.MembersPage page) {
            takePage(page, nowNanos, actions);
        } else if (message instanceof PeerMessage.LeavingNotice notice) {
            takeNotices(notice.leaving(), actions);
        }
        return actions;
    }

    /** Tells the others that a backend server is leaving, as seen by this process. */
    public List<ClusterAction> backendLeaving(BackendIncarnation backend) {
        List<ClusterAction> actions = new ArrayList<>();
        takeNotices(List.of(backend), actions);
        return actions;
    }

    /** Leaves gracefully: some members are told at once. Afterwards this object does nothing. */
    public List<ClusterAction> leave() {
        List<ClusterAction> actions = new ArrayList<>();
        if (stopped) {
            return actions;
        }
        MemberUpdate left = new MemberUpdate.Gone(self.incarnation(), refutation, true);
        Piggyback farewell = new Piggyback(settings, 0, List.of(left), List.of());
        for (Member member : schedule.randomLive(table, LEAVE_FANOUT, self.host())) {
            actions.add(new ClusterAction.Send(member.peer().address(), new PeerMessage.Ping(++lastProbe, farewell)));
        }
        stopped = true;
        return actions;
    }

    /**
     * Suspects hosts that should report to this one and are no longer heard, and tells all others at once: probes take
     * seconds to find many that die together. Live ones refute it. A host that has left is not reported to any more.
     */
    public List<ClusterAction> suspectSilent(Collection<HostId> hosts, long nowNanos) {
        if (stopped) {
            return List.of();
        }
        List<MemberUpdate> suspicions = new ArrayList<>();
        for (Member member : List.copyOf(table.all())) {
            if (hosts.contains(member.host()) && member.state() == Member.State.ALIVE) {
                suspect(member, member.refutation(), self.host(), nowNanos);
                suspicions.add(member.statement(self.host()));
            }
        }
        List<ClusterAction> actions = new ArrayList<>();
        if (!suspicions.isEmpty()) {
            tellAll(suspicions, actions);
        }
        return actions;
    }

    /** Sends news to all live hosts in a message that none of them answers. */
    private void tellAll(List<MemberUpdate> news, List<ClusterAction> actions) {
        Piggyback carried = new Piggyback(settings, table.liveDigest(self.incarnation()), news, List.of());
        PeerMessage message = new PeerMessage.Ack(NO_PROBE, false, carried);
        for (Member member : schedule.randomLive(table, table.liveCount(), self.host())) {
            actions.add(new ClusterAction.Send(member.peer().address(), message));
        }
    }

    // Probing

    private void noticePause(long nowNanos) {
        long lateNanos = nowNanos - lastTickNanos - TICK_NANOS;
        lastTickNanos = nowNanos;
        if (lateNanos <= tuning.lateTickNanos()) {
            return;
        }
        health.worsen();
        probe = null;
        nextProbeAtNanos = nowNanos;
        for (Member member : table.all()) {
            if (member.suspicion() != null) {
                member.suspicion().extend(lateNanos);
            }
        }
    }

    private void joinIfDue(long nowNanos, List<ClusterAction> actions) {
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
            actions.add(new ClusterAction.Send(seed, new PeerMessage.Ping(++lastProbe, piggybackFor(null))));
        }
    }

    private void startProbe(long nowNanos, List<ClusterAction> actions) {
        nextProbeAtNanos = nowNanos + health.stretch(tuning.probeIntervalNanos());
        Optional<Member> target = schedule.next(table);
        if (target.isEmpty()) {
            return;
        }
        probe = new Probe(++lastProbe, target.get(), nowNanos);
        Piggyback piggyback = piggybackFor(target.get().peer().incarnation());
        actions.add(
                new ClusterAction.Send(target.get().peer().address(), new PeerMessage.Ping(probe.number, piggyback)));
    }

    private void askHelpersIfDue(long nowNanos, List<ClusterAction> actions) {
        if (probe == null || probe.reached || probe.helpersAsked || !probe.target.isLive()) {
            return;
        }
        if (nowNanos - probe.startNanos < health.stretch(tuning.ackTimeoutNanos())) {
            return;
        }
        probe.helpersAsked = true;
        HostId target = probe.target.host();
        for (Member helper : schedule.randomLive(table, tuning.helpers(), target)) {
            probe.missingAnswers++;
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
            health.improve();
            return;
        }
        if (finished.missingAnswers > 0) {
            health.worsen();
        }
        Member target = finished.target;
        suspect(target, target.refutation(), self.host(), nowNanos);
    }

    private void acknowledge(Peer from, PeerMessage.Ack ack, List<ClusterAction> actions) {
        indirectProbes.complete(ack.probe())
                .ifPresent(relay -> actions.add(new ClusterAction.Send(
                        relay.requester(), new PeerMessage.Ack(relay.requesterProbe(), true, piggybackFor(null)))));
        if (probe == null || probe.number != ack.probe()) {
            return;
        }
        if (!from.host().equals(probe.target.host())) {
            probe.missingAnswers--;
        }
        probe.reached |= ack.reached();
    }

    private void relay(Peer from, PeerMessage.PingRequest request, long nowNanos, List<ClusterAction> actions) {
        Optional<Member> target = table.find(request.target().host());
        long number = ++lastProbe;
        long deadlineNanos = nowNanos + tuning.ackTimeoutNanos();
        IndirectProbes.IndirectProbe relay = new IndirectProbes.IndirectProbe(from.address(), request.probe(), deadlineNanos);
        if (target.isEmpty() || !indirectProbes.add(number, relay)) {
            actions.add(new ClusterAction.Reply(
                    new PeerMessage.Ack(request.probe(), false, piggybackFor(from.incarnation()))));
            return;
        }
        actions.add(new ClusterAction.Send(
                target.get().peer().address(),
                new PeerMessage.Ping(number, piggybackFor(target.get().peer().incarnation()))));
    }

    private void answerExpiredRelays(long nowNanos, List<ClusterAction> actions) {
        for (IndirectProbes.IndirectProbe relay : indirectProbes.removeExpired(nowNanos)) {
            actions.add(new ClusterAction.Send(
                    relay.requester(), new PeerMessage.Ack(relay.requesterProbe(), false, piggybackFor(null))));
        }
    }

    // Statements about members

    private void hearFrom(Peer from, List<ClusterAction> actions) {
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
        takeNotices(piggyback.leaving(), actions);
        if (comparison.isDue(piggyback.viewDigest(), table.liveDigest(self.incarnation()), nowNanos)) {
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
        boolean disputes = about.equals(self.incarnation()) && !(update instanceof MemberUpdate.Alive);
        if (disputes && update.refutation() >= refutation) {
            refutation = update.refutation() + 1;
            health.worsen();
            updates.put(self.host(), new MemberUpdate.Alive(self, refutation));
        }
    }

    private void add(Peer peer, int refutationCount, List<ClusterAction> actions) {
        Member added = table.add(peer, refutationCount);
        if (added == null) {
            actions.add(new ClusterAction.MemberTableFull(peer));
            return;
        }
        updates.put(peer.host(), new MemberUpdate.Alive(peer, refutationCount));
        actions.add(new ClusterAction.MemberChanged(peer, true));
    }

    private void markAlive(Member member, int refutationCount, List<ClusterAction> actions) {
        boolean changed = table.change(member, () -> member.alive(refutationCount));
        updates.put(member.host(), member.statement(self.host()));
        if (changed) {
            actions.add(new ClusterAction.MemberChanged(member.peer(), true));
        }
    }

    private void suspect(Member member, int refutationCount, HostId by, long nowNanos) {
        if (!member.isLive()) {
            return;
        }
        boolean starts = member.state() == Member.State.ALIVE || refutationCount > member.refutation();
        if (starts) {
            Suspicion started =
                    new Suspicion(nowNanos, tuning.probeIntervalNanos(), table.liveCount() + 1, health.score());
            table.change(member, () -> member.suspect(refutationCount, started));
            hasSuspects = true;
        }
        if (member.suspicion().confirm(by)) {
            updates.put(member.host(), new MemberUpdate.Suspect(member.peer().incarnation(), refutationCount, by));
        }
    }

    private void markGone(
            Member member, int refutationCount, boolean left, long nowNanos, List<ClusterAction> actions) {
        boolean changed = table.change(member, () -> {
            if (member.isLive()) {
                member.gone(refutationCount, left, nowNanos);
            }
        });
        if (changed) {
            updates.put(member.host(), member.statement(self.host()));
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

    // Piggybacking and comparing

    /**
     * What a frame to this process carries. A statement that disputes the process itself, or names its successor,
     * comes first, so that it can refute or stop.
     */
    private Piggyback piggybackFor(HostIncarnation to) {
        List<MemberUpdate> carried = new ArrayList<>();
        Optional<Member> receiver = to == null ? Optional.empty() : table.find(to.host());
        receiver.filter(member -> member.state() != Member.State.ALIVE || !isAbout(member, to))
                .ifPresent(member -> carried.add(member.statement(self.host())));
        carried.addAll(updates.take(
                tuning.maxUpdates() - carried.size(),
                tuning.maxUpdateBytes(),
                table.liveCount() + 1,
                UpdateQueue::sizeBytes));
        List<BackendIncarnation> leaving = notices.take(table.liveCount() + 1);
        return new Piggyback(settings, table.liveDigest(self.incarnation()), carried, leaving);
    }

    private PeerMessage.MembersPage page(String after) {
        List<MemberUpdate> entries = new ArrayList<>();
        if (after.isEmpty()) {
            entries.add(new MemberUpdate.Alive(self, refutation));
        }
        for (Member member : table.after(after)) {
            if (entries.size() >= MAX_PAGE_MEMBERS) {
                return new PeerMessage.MembersPage(entries, true);
            }
            if (member.isLive()) {
                entries.add(new MemberUpdate.Alive(member.peer(), member.refutation()));
            }
        }
        return new PeerMessage.MembersPage(entries, false);
    }

    /** Members that are new to this process only are not passed on: others sent the page, so they know them. */
    private void takePage(PeerMessage.MembersPage page, long nowNanos, List<ClusterAction> actions) {
        for (MemberUpdate update : page.updates()) {
            boolean known = table.find(update.incarnation().host()).isPresent();
            apply(update, nowNanos, actions);
            if (!known) {
                updates.remove(update.incarnation().host());
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

    private void takeNotices(List<BackendIncarnation> leaving, List<ClusterAction> actions) {
        List<BackendIncarnation> news = notices.add(leaving);
        if (news.isEmpty()) {
            return;
        }
        news.forEach(backend -> actions.add(new ClusterAction.BackendLeaving(backend)));
        for (Peer peer : randomPeers(NOTICE_FANOUT)) {
            actions.add(new ClusterAction.Send(peer.address(), new PeerMessage.LeavingNotice(news)));
        }
    }
}
