package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.SuspectEvidence;
import io.figspan.cluster.message.SuspectId;
import io.figspan.cluster.message.SuspectKind;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.RequestFingerprint;
import io.figspan.core.util.RendezvousHash;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Attributes crashes of backend servers to the requests that ran there and to the shared parts of their prompts, and
 * quarantines those that cause them, so that retries and later requests don't carry them through the fleet. Hosts
 * exchange the evidence, since no host alone sees enough crashes.
 *
 * <p>A request is suspected of each crash under it, also after its response has begun; a complete response at any host
 * refutes all its crashes so far. A part is suspected of each crash under a prompt with it whose answer had not begun;
 * an answer that begins refutes them. A response of a server refutes the crash of that server. {@link CrashAttribution}
 * decides between suspects; the crashes of a quarantined one no longer count against others. Of parts that all crashes
 * have in common, only the prompts with all of them are refused. While a part is quarantined, one host admits a single
 * prompt now and then, at increasing intervals. A quarantined request is not sent again until the quarantine expires.
 *
 * <p>Performs no I/O and is not thread-safe; times are monotonic, in nanoseconds.
 */
public final class CrashQuarantine {
    /** Hosts that receive the evidence in each round of gossip. */
    public static final int GOSSIP_FANOUT = 3;

    static final long GOSSIP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The interval while nothing changes, which keeps the traffic low during a quarantine. */
    static final long QUIET_GOSSIP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time for other hosts to refute a crash before it counts. */
    static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time after a change of the evidence in which a decision on it can change. */
    static final long DECISION_NANOS = 10 * SETTLE_NANOS;

    private static final long CLEANUP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Hosts that send a new host all evidence at once. */
    private static final int JOIN_SENDERS = 3;

    private final HostId self;
    private final SuspectTable suspects;
    private final EvidenceOutbox outbox = new EvidenceOutbox();
    private final CrashedServers crashedServers = new CrashedServers();
    private final NewHosts newHosts = new NewHosts();
    private final QuarantineDecisions decisions;
    private final Map<SuspectKind, RecentAnswers> recentAnswers = new EnumMap<>(SuspectKind.class);
    private Set<HostId> hosts;
    private long lastGossipNanos;
    private long lastChangeNanos;
    private long lastDecisionNanos;
    private long lastCleanupNanos;

    /**
     * A request is not sent because of these suspects: the request itself, or all the parts of its prompt that the
     * crashes have in common.
     *
     * @param retryAfterMs time until the decision may have changed; empty if it won't
     */
    public record Refusal(Set<SuspectId> suspects, OptionalLong retryAfterMs) {
        public Refusal {
            suspects = Set.copyOf(suspects);
        }
    }

    public CrashQuarantine(HostId self, long nowNanos) {
        this(self, new EvidenceVersion(), nowNanos);
    }

    CrashQuarantine(HostId self, EvidenceVersion version, long nowNanos) {
        this.self = self;
        this.suspects = new SuspectTable(version);
        this.hosts = Set.of(self);
        this.decisions = new QuarantineDecisions(self, suspects, this::evidenceChanged);
        this.lastGossipNanos = nowNanos;
        this.lastChangeNanos = nowNanos;
        this.lastDecisionNanos = nowNanos;
        this.lastCleanupNanos = nowNanos;
        for (SuspectKind kind : SuspectKind.values()) {
            recentAnswers.put(kind, new RecentAnswers());
        }
    }

    /** Replaces the set of live hosts, which includes this one. */
    public void hostsChanged(Set<HostId> liveHosts) {
        hosts = Set.copyOf(liveHosts);
        decisions.hostsChanged(hosts);
    }

    // Evidence

    /**
     * A server closed its connection under a request whose response was not complete.
     *
     * @param mayBePart whether a part of the prompt may be the cause, since its answer had not begun
     */
    public void serverCrashed(BackendIncarnation server, RequestIdentity request, boolean mayBePart, long nowNanos) {
        crashedServers.observed(server, nowNanos);
        addCrash(server, request.request(), List.of(), nowNanos);
        if (mayBePart) {
            request.parts().forEach(part -> addCrash(server, part, List.of(request.fingerprint()), nowNanos));
        }
    }

    private void addCrash(BackendIncarnation server, SuspectId id, List<RequestFingerprint> requests, long nowNanos) {
        if (recentAnswers.get(id.kind()).isRecent(id, nowNanos)) {
            return;
        }
        Suspect suspect = suspects.findOrAdd(id, nowNanos, nowNanos);
        suspect.setObservedHere();
        boolean isNewCrash = suspect.addCrash(server, nowNanos, nowNanos);
        boolean isNewRequest = suspect.crashCount() > 0 && suspect.addRequests(requests);
        if (isNewCrash || isNewRequest) {
            evidenceChanged(id, nowNanos);
        }
    }

    /** An answer to the prompt of this request has begun, so none of its parts causes crashes. */
    public void answerBegan(RequestIdentity request, long nowNanos) {
        request.parts().forEach(part -> clear(part, nowNanos));
    }

    /** The response to this request is complete, or has gone on for longer than it takes to crash a server. */
    public void requestServed(RequestIdentity request, long nowNanos) {
        clear(request.request(), nowNanos);
    }

    private void clear(SuspectId id, long nowNanos) {
        recentAnswers.get(id.kind()).record(id, nowNanos);
        if (suspects.find(id).filter(suspect -> suspect.refuteAll(nowNanos)).isPresent()) {
            evidenceChanged(id, nowNanos);
        }
    }

    /** A server has responded to a request that was sent at {@code sentNanos}. */
    public void serverResponded(BackendIncarnation server, long sentNanos, long nowNanos) {
        if (!crashedServers.isRefuted(server, sentNanos, nowNanos)) {
            return;
        }
        crashedServers.remove(server);
        for (Suspect suspect : suspects.all()) {
            if (suspect.crashes().contains(server) && suspect.refute(server, nowNanos)) {
                evidenceChanged(suspect.id(), nowNanos);
            }
        }
    }

    /** Another host has sent its evidence. A quarantine of another host holds here at once. */
    public void receive(PeerMessage.CrashEvidence evidence, long nowNanos) {
        for (SuspectEvidence received : evidence.suspects()) {
            if (TimeUnit.MILLISECONDS.toNanos(received.ageMs()) < SuspectTable.expiryNanos(received.isQuarantined())) {
                received.crashes().forEach(server -> crashedServers.reported(server, nowNanos));
                received.suspects().forEach(id -> merge(id, received, nowNanos));
            }
        }
        if (evidence.suspects().stream().anyMatch(SuspectEvidence::isQuarantined)) {
            decisions.decide(nowNanos);
        }
    }

    private void merge(SuspectId id, SuspectEvidence received, long nowNanos) {
        long crashedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(received.ageMs());
        Suspect suspect = suspects.findOrAdd(id, crashedNanos, nowNanos);
        if (suspect.merge(received, crashedNanos, nowNanos)) {
            lastChangeNanos = nowNanos;
        }
        if (suspect.isCoveredBy(received)) {
            outbox.sentByOther(id);
        }
        if (recentAnswers.get(id.kind()).isRecent(id, nowNanos) && suspect.refuteAll(nowNanos)) {
            evidenceChanged(id, nowNanos);
        }
    }

    private void evidenceChanged(SuspectId suspect, long nowNanos) {
        outbox.changed(suspect, nowNanos);
        lastChangeNanos = nowNanos;
    }

    /** Whether servers have crashed under a request and it has not been cleared. */
    public boolean isSuspect(RequestFingerprint fingerprint) {
        return suspects.find(new SuspectId.OfRequest(fingerprint))
                .filter(suspect -> suspect.crashCount() > 0)
                .isPresent();
    }

    /** Whether a request must be refused now. */
    public Optional<Refusal> refusal(RequestIdentity request, long nowNanos) {
        return decisions.refusal(request, nowNanos);
    }

    /** Like {@link #refusal}, right before the request is sent; one that is not refused uses up a due trial. */
    public Optional<Refusal> refusalOfSend(RequestIdentity request, long nowNanos) {
        return decisions.refusalOfSend(request, nowNanos);
    }

    // Exchange with other hosts

    /**
     * Decides on the evidence so far, sends what has changed, repeats the evidence now and then, and forgets what has
     * expired. To be called several times a second.
     */
    public List<QuarantineAction> tick(long nowNanos) {
        if (nowNanos - lastCleanupNanos >= CLEANUP_INTERVAL_NANOS) {
            lastCleanupNanos = nowNanos;
            if (suspects.removeExpired(nowNanos)) {
                decisions.decide(nowNanos);
            }
            decisions.forgetTrials();
        }
        // Not nowNanos: a host that was paused after a change must still decide on it once.
        if (lastDecisionNanos - lastChangeNanos < DECISION_NANOS) {
            lastDecisionNanos = nowNanos;
            decisions.decide(nowNanos);
        }
        List<QuarantineAction> actions = new ArrayList<>(decisions.takeDecided());
        EvidencePages.message(takeDue(nowNanos), nowNanos)
                .ifPresent(news -> actions.add(new QuarantineAction.SendToAll(news)));
        for (HostId host : newHosts.takeDue(nowNanos)) {
            pages(nowNanos).forEach(page -> actions.add(new QuarantineAction.SendToHost(host, page)));
        }
        if (nowNanos - lastGossipNanos >= gossipIntervalNanos(nowNanos)) {
            lastGossipNanos = nowNanos;
            EvidencePages.message(suspects.forGossip(nowNanos), nowNanos)
                    .ifPresent(some -> actions.add(new QuarantineAction.SendToSome(some)));
        }
        return actions;
    }

    private List<Suspect> takeDue(long nowNanos) {
        List<Suspect> due = new ArrayList<>();
        for (SuspectId id : outbox.due(nowNanos)) {
            Optional<Suspect> suspect = suspects.find(id);
            suspect.ifPresentOrElse(due::add, () -> outbox.remove(id));
        }
        List<Suspect> taken = EvidencePages.first(SuspectTable.byImportance(due));
        taken.forEach(suspect -> outbox.sent(suspect.id(), nowNanos));
        return taken;
    }

    private long gossipIntervalNanos(long nowNanos) {
        return nowNanos - lastChangeNanos < SuspectTable.REPEAT_NANOS
                ? GOSSIP_INTERVAL_NANOS
                : QUIET_GOSSIP_INTERVAL_NANOS;
    }

    /**
     * The evidence for a host that has just joined, the most important first; empty if other hosts send theirs. Later
     * ticks repeat it.
     */
    public List<PeerMessage.CrashEvidence> evidenceForNewHost(HostId newHost, long nowNanos) {
        Set<HostId> senders = new HashSet<>(hosts);
        senders.remove(newHost);
        boolean isSender = RendezvousHash.order(newHost.value(), senders).stream()
                .limit(JOIN_SENDERS)
                .anyMatch(self::equals);
        if (!isSender) {
            return List.of();
        }
        newHosts.joined(newHost, nowNanos);
        return pages(nowNanos);
    }

    /** All evidence for a new host, the most important first, in a bounded number of messages. */
    private List<PeerMessage.CrashEvidence> pages(long nowNanos) {
        return EvidencePages.all(suspects.reportable(nowNanos), nowNanos);
    }

    /** Number of suspects of a kind because of which requests are refused. */
    public long quarantinedCount(SuspectKind kind) {
        return suspects.quarantinedCount(kind);
    }
}
