package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.SuspectEvidence;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.PromptPartId;
import io.figspan.core.util.RendezvousHash;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Attributes crashes of model engines to parts of the prompts that were about to begin their answers there, and
 * quarantines the parts that cause them, so that retries and later prompts don't carry them through the fleet. Hosts
 * exchange the evidence, since no host alone sees enough crashes.
 *
 * <p>A part is suspected of each crash under a prompt with it whose answer had not begun. An answer that begins on the
 * part, at any host, refutes all its crashes so far, and a response of a server refutes the crash of that server. The
 * part with more crashes than any other is quarantined; its crashes then no longer count against other parts. While it
 * is quarantined, one host lets a single prompt through now and then, at increasing intervals.
 *
 * <p>Performs no I/O and is not thread-safe; times are monotonic, in nanoseconds.
 */
public final class CrashQuarantine {
    /** Hosts that receive the evidence in each round of gossip. */
    public static final int GOSSIP_FANOUT = 3;

    static final long GOSSIP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The interval while nothing changes, which keeps the traffic low during a quarantine. */
    static final long QUIET_GOSSIP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time from the latest crash to the first trial of a part with {@link SuspectTable#MIN_CRASHES} crashes. */
    static final long FIRST_TRIAL_DELAY_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Factor of the delay for each further crash. */
    static final int TRIAL_DELAY_FACTOR = 4;

    /** Responses that come so soon after a crash may have been sent before it. */
    static final long IN_FLIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Shortest restart of a server; a response to a later request may come from its next process. */
    static final long MIN_RESTART_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Hosts that send a new host all evidence at once. */
    private static final int JOIN_SENDERS = 3;

    private static final int MAX_CRASHED_SERVERS = 256;

    private final HostId self;
    private final SuspectTable suspects = new SuspectTable();
    private final Map<BackendIncarnation, Long> crashHeardNanos = new LinkedHashMap<>();
    private final Map<PromptPartId, Long> lastTrialNanos = new LinkedHashMap<>();
    private final RecentAnswers recentAnswers = new RecentAnswers();
    private final Set<PromptPartId> unsent = new LinkedHashSet<>();
    private Set<HostId> hosts;
    private long lastGossipNanos;

    /** A prompt is not sent because of this part; waiting for this time may help. */
    public record Refusal(PromptPartId part, long retryAfterMs) {}

    public CrashQuarantine(HostId self, long nowNanos) {
        this.self = self;
        this.hosts = Set.of(self);
        this.lastGossipNanos = nowNanos;
    }

    /** Replaces the set of live hosts, which includes this one. */
    public void hostsChanged(Set<HostId> liveHosts) {
        hosts = Set.copyOf(liveHosts);
    }

    // Evidence

    /**
     * A server closed its connection under a prompt whose answer had not begun.
     *
     * @param parts the shared parts of the prompt, in their order
     */
    public void serverCrashed(BackendIncarnation server, List<PromptPartId> parts, long nowNanos) {
        heardOfCrash(server, nowNanos);
        for (int depth = 0; depth < parts.size(); depth++) {
            PromptPartId part = parts.get(depth);
            if (!recentAnswers.hasBegun(part, nowNanos)
                    && suspects.findOrAdd(part, nowNanos, nowNanos).addCrash(server, depth, nowNanos, nowNanos)) {
                unsent.add(part);
            }
        }
    }

    /** An answer to a prompt with these parts has begun, so none of them causes crashes. */
    public void answerBegan(List<PromptPartId> parts, long nowNanos) {
        for (PromptPartId part : parts) {
            recentAnswers.record(part, nowNanos);
            if (suspects.find(part)
                    .filter(suspect -> suspect.refuteAll(nowNanos))
                    .isPresent()) {
                unsent.add(part);
            }
        }
    }

    /** A server has responded to a request that was sent at {@code sentNanos}. */
    public void serverResponded(BackendIncarnation server, long sentNanos, long nowNanos) {
        Long heardNanos = crashHeardNanos.get(server);
        if (heardNanos == null || nowNanos - heardNanos < IN_FLIGHT_NANOS) {
            return;
        }
        boolean mayHaveRestarted = sentNanos - heardNanos >= 0 && nowNanos - heardNanos > MIN_RESTART_NANOS;
        if (mayHaveRestarted) {
            return;
        }
        crashHeardNanos.remove(server);
        for (Suspect suspect : suspects.all()) {
            if (suspect.crashes().contains(server) && suspect.refute(server, nowNanos)) {
                unsent.add(suspect.part());
            }
        }
    }

    /** Another host has sent its evidence. */
    public void receive(PeerMessage.CrashEvidence evidence, long nowNanos) {
        for (SuspectEvidence received : evidence.parts()) {
            if (TimeUnit.MILLISECONDS.toNanos(received.ageMs()) < SuspectTable.expiryNanos(received.isQuarantined())) {
                merge(received, nowNanos);
            }
        }
    }

    private void merge(SuspectEvidence received, long nowNanos) {
        received.crashes().forEach(server -> heardOfCrash(server, nowNanos));
        long crashedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(received.ageMs());
        Suspect suspect = suspects.findOrAdd(received.part(), crashedNanos, nowNanos);
        suspect.merge(received, crashedNanos, nowNanos);
        if (suspect.isCoveredBy(received)) {
            unsent.remove(received.part());
        }
        if (recentAnswers.hasBegun(received.part(), nowNanos) && suspect.refuteAll(nowNanos)) {
            unsent.add(received.part());
        }
    }

    private void heardOfCrash(BackendIncarnation server, long nowNanos) {
        crashHeardNanos.putIfAbsent(server, nowNanos);
        if (crashHeardNanos.size() > MAX_CRASHED_SERVERS) {
            crashHeardNanos.remove(crashHeardNanos.keySet().iterator().next());
        }
    }

    // Decisions

    private List<QuarantineAction> decide(long nowNanos) {
        List<QuarantineAction> actions = new ArrayList<>();
        for (Suspect suspect : suspects.all()) {
            if (suspect.isQuarantined() && suspect.crashCount() < SuspectTable.MIN_CRASHES) {
                suspect.release();
                unsent.add(suspect.part());
                actions.add(new QuarantineAction.Released(suspect.part(), suspect.crashCount()));
            } else if (suspect.isQuarantinedElsewhere() && suspect.crashCount() >= SuspectTable.MIN_CRASHES) {
                quarantine(suspect, actions);
            }
        }
        Optional<Suspect> culprit = suspects.nextCulprit(nowNanos);
        while (culprit.isPresent()) {
            quarantine(culprit.get(), actions);
            culprit = suspects.nextCulprit(nowNanos);
        }
        return actions;
    }

    private void quarantine(Suspect suspect, List<QuarantineAction> actions) {
        if (!suspect.isQuarantined()) {
            suspect.quarantine();
            unsent.add(suspect.part());
            actions.add(new QuarantineAction.Quarantined(suspect.part(), suspect.crashCount()));
        }
    }

    /** Whether a prompt with these parts must be refused now. */
    public Optional<Refusal> refusal(List<PromptPartId> parts, long nowNanos) {
        return quarantined(parts)
                .filter(suspect -> !isTrialDue(suspect, nowNanos))
                .findFirst()
                .map(suspect -> new Refusal(suspect.part(), retryAfterMs(suspect, nowNanos)));
    }

    private Stream<Suspect> quarantined(List<PromptPartId> parts) {
        return parts.stream().flatMap(part -> suspects.find(part).stream()).filter(Suspect::isQuarantined);
    }

    /** Like {@link #refusal}, right before the prompt is sent; a prompt that is not refused uses up a due trial. */
    public Optional<Refusal> refusalOfSend(List<PromptPartId> parts, long nowNanos) {
        Optional<Refusal> refusal = refusal(parts, nowNanos);
        if (refusal.isEmpty()) {
            quarantined(parts).forEach(suspect -> lastTrialNanos.put(suspect.part(), nowNanos));
        }
        return refusal;
    }

    private boolean isTrialDue(Suspect suspect, long nowNanos) {
        return nowNanos - nextTrialNanos(suspect) >= 0 && isTrialHost(suspect.part());
    }

    private long nextTrialNanos(Suspect suspect) {
        long afterCrash = suspect.lastCrashNanos() + trialDelayNanos(suspect.crashCount());
        Long last = lastTrialNanos.get(suspect.part());
        return last == null ? afterCrash : Math.max(afterCrash, last + FIRST_TRIAL_DELAY_NANOS);
    }

    private static long trialDelayNanos(int crashes) {
        long delayNanos = FIRST_TRIAL_DELAY_NANOS;
        for (int further = SuspectTable.MIN_CRASHES; further < crashes; further++) {
            delayNanos *= TRIAL_DELAY_FACTOR;
        }
        return Math.min(delayNanos, SuspectTable.QUARANTINE_EXPIRY_NANOS);
    }

    /** Whether this host is the one that lets prompts with the part through for a trial. */
    private boolean isTrialHost(PromptPartId part) {
        return RendezvousHash.order(part.value(), hosts).get(0).equals(self);
    }

    private long retryAfterMs(Suspect suspect, long nowNanos) {
        return Math.max(
                TimeUnit.SECONDS.toMillis(1), TimeUnit.NANOSECONDS.toMillis(nextTrialNanos(suspect) - nowNanos));
    }

    // Exchange with other hosts

    /**
     * Decides on the evidence so far, sends what has changed, repeats the evidence now and then, and forgets what has
     * expired. To be called several times a second.
     */
    public List<QuarantineAction> tick(long nowNanos) {
        suspects.removeExpired(nowNanos);
        lastTrialNanos.keySet().removeIf(part -> suspects.find(part).isEmpty());
        List<QuarantineAction> actions = decide(nowNanos);
        List<Suspect> changed =
                unsent.stream().flatMap(part -> suspects.find(part).stream()).toList();
        unsent.clear();
        SuspectTable.message(changed, nowNanos).ifPresent(news -> actions.add(new QuarantineAction.SendToAll(news)));
        if (nowNanos - lastGossipNanos >= gossipIntervalNanos(nowNanos)) {
            lastGossipNanos = nowNanos;
            evidence(nowNanos).ifPresent(all -> actions.add(new QuarantineAction.SendToSome(all)));
        }
        return actions;
    }

    private long gossipIntervalNanos(long nowNanos) {
        return suspects.hasChangedLately(nowNanos) ? GOSSIP_INTERVAL_NANOS : QUIET_GOSSIP_INTERVAL_NANOS;
    }

    /** The evidence for a host that has just joined; empty if other hosts send it theirs. */
    public Optional<PeerMessage.CrashEvidence> evidenceForNewHost(HostId newHost, long nowNanos) {
        Set<HostId> senders = new HashSet<>(hosts);
        senders.remove(newHost);
        boolean isSender = RendezvousHash.order(newHost.value(), senders).stream()
                .limit(JOIN_SENDERS)
                .anyMatch(self::equals);
        return isSender ? evidence(nowNanos) : Optional.empty();
    }

    private Optional<PeerMessage.CrashEvidence> evidence(long nowNanos) {
        return SuspectTable.message(suspects.all(), nowNanos);
    }

    /** Number of parts whose prompts are refused. */
    public long quarantinedCount() {
        return suspects.all().stream().filter(Suspect::isQuarantined).count();
    }
}
