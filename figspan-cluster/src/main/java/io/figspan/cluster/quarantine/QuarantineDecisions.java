package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectId;
import io.figspan.cluster.message.SuspectKind;
import io.figspan.cluster.quarantine.CrashQuarantine.Refusal;
import io.figspan.core.id.HostId;
import io.figspan.core.util.RendezvousHash;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What a host refuses: the decisions on the evidence that it has, made by {@link CrashAttribution}, and the requests
 * that they concern, except for trials. Not thread-safe; times are monotonic, in nanoseconds.
 */
final class QuarantineDecisions {
    /** No version of the evidence has been decided on. */
    private static final long UNDECIDED = -1;

    private final HostId self;
    private final SuspectTable suspects;
    private final EvidenceListener evidenceListener;
    private final TrialSchedule trials = new TrialSchedule();
    private final List<QuarantineAction> decided = new ArrayList<>();
    private List<Verdict> partVerdicts = List.of();
    private Set<HostId> hosts;
    private long decidedVersion = UNDECIDED;
    private OptionalLong nextCrashNanos = OptionalLong.empty();

    /** Receives the suspects whose quarantine has changed and must be sent to other hosts. */
    interface EvidenceListener {
        void changed(SuspectId suspect, long nowNanos);
    }

    QuarantineDecisions(HostId self, SuspectTable suspects, EvidenceListener evidenceListener) {
        this.self = self;
        this.hosts = Set.of(self);
        this.suspects = suspects;
        this.evidenceListener = evidenceListener;
    }

    /** Replaces the set of live hosts, which includes this one. */
    void hostsChanged(Set<HostId> liveHosts) {
        hosts = liveHosts;
    }

    /** Returns the decisions since the last call. */
    List<QuarantineAction> takeDecided() {
        List<QuarantineAction> taken = List.copyOf(decided);
        decided.clear();
        return taken;
    }

    /** Forgets the trials of suspects that are no longer known. */
    void forgetTrials() {
        trials.retain(id -> suspects.find(id).isPresent());
    }

    // Decisions

    /**
     * Decides anew on all evidence, so that a wrong decision ends with the evidence that contradicts it. Returns early
     * if the decisions can't differ from the last ones: the evidence is the same, and no more crashes count.
     */
    void decide(long nowNanos) {
        long untilNanos = nowNanos - CrashQuarantine.SETTLE_NANOS;
        long version = suspects.version();
        if (version == decidedVersion && !isNextCrashSettled(untilNanos)) {
            return;
        }
        // The version before the decisions: what they change themselves is decided on again.
        decidedVersion = version;
        List<Suspect> all = suspects.all();
        releaseRequests(all, nowNanos);
        adoptRequests(all);
        CrashAttribution attribution = new CrashAttribution(all, untilNanos);
        nextCrashNanos = attribution.nextCrashNanos();
        apply(attribution.verdicts(), nowNanos);
    }

    private boolean isNextCrashSettled(long untilNanos) {
        return nextCrashNanos.isPresent() && nextCrashNanos.getAsLong() - untilNanos <= 0;
    }

    private void apply(List<Verdict> verdicts, long nowNanos) {
        verdicts.stream()
                .filter(verdict -> verdict.kind() == SuspectKind.REQUEST)
                .forEach(verdict -> quarantine(verdict, nowNanos));
        decideOnParts(
                verdicts.stream()
                        .filter(verdict -> verdict.kind() == SuspectKind.PROMPT_PART)
                        .toList(),
                nowNanos);
    }

    private static List<Suspect> quarantinedRequests(List<Suspect> all) {
        return all.stream()
                .filter(suspect -> suspect.isQuarantined() && suspect.kind() == SuspectKind.REQUEST)
                .toList();
    }

    private void releaseRequests(List<Suspect> all, long nowNanos) {
        List<Suspect> quarantined = quarantinedRequests(all);
        List<Suspect> released = quarantined.stream()
                .filter(suspect -> suspect.crashCount() < CrashAttribution.MIN_CRASHES
                        || CrashAttribution.isExplained(suspect, quarantined))
                .toList();
        released.forEach(suspect -> release(List.of(suspect), nowNanos));
    }

    /** Quarantines the requests that other hosts have quarantined, which they have sent to all hosts already. */
    private void adoptRequests(List<Suspect> all) {
        List<Suspect> quarantined = new ArrayList<>(quarantinedRequests(all));
        for (Suspect suspect : all) {
            if (suspect.kind() == SuspectKind.REQUEST
                    && suspect.isQuarantinedElsewhere()
                    && !suspect.isQuarantined()
                    && suspect.crashCount() >= CrashAttribution.MIN_CRASHES
                    && !CrashAttribution.isExplained(suspect, quarantined)) {
                suspect.quarantine();
                quarantined.add(suspect);
                decided.add(new QuarantineAction.Quarantined(Set.of(suspect.id()), suspect.crashCount()));
            }
        }
    }

    private void decideOnParts(List<Verdict> verdicts, long nowNanos) {
        Set<Set<SuspectId>> before =
                partVerdicts.stream().map(Verdict::suspects).collect(Collectors.toSet());
        Set<SuspectId> quarantined = new HashSet<>();
        verdicts.forEach(verdict -> quarantined.addAll(verdict.suspects()));
        partVerdicts = verdicts;
        List<Suspect> released = suspects.all().stream()
                .filter(suspect -> suspect.kind() == SuspectKind.PROMPT_PART && suspect.isQuarantined())
                .filter(suspect -> !quarantined.contains(suspect.id()))
                .toList();
        if (!released.isEmpty()) {
            release(released, nowNanos);
        }
        verdicts.stream()
                .filter(verdict -> !before.contains(verdict.suspects()))
                .forEach(verdict -> quarantine(verdict, nowNanos));
    }

    /** Only hosts that have seen a crash send the decision at once, since in a large fleet all make it together. */
    private void quarantine(Verdict verdict, long nowNanos) {
        boolean isNew = verdict.kind() == SuspectKind.PROMPT_PART;
        for (SuspectId id : verdict.suspects()) {
            Suspect suspect = suspects.find(id).orElseThrow();
            if (suspect.isQuarantined()) {
                continue;
            }
            isNew = true;
            suspect.quarantine();
            if (suspect.isObservedHere()) {
                evidenceListener.changed(id, nowNanos);
            }
        }
        if (isNew) {
            decided.add(new QuarantineAction.Quarantined(verdict.suspects(), verdict.crashes()));
        }
    }

    private void release(List<Suspect> released, long nowNanos) {
        int crashes = released.stream().mapToInt(Suspect::crashCount).max().orElse(0);
        Set<SuspectId> ids = released.stream().map(Suspect::id).collect(Collectors.toSet());
        decided.add(new QuarantineAction.Released(ids, crashes));
        for (Suspect suspect : released) {
            suspect.release();
            if (suspect.isObservedHere()) {
                evidenceListener.changed(suspect.id(), nowNanos);
            }
        }
    }

    // Requests

    /** Whether a request must be refused now. */
    Optional<Refusal> refusal(RequestIdentity request, long nowNanos) {
        return verdictsOn(request).stream()
                .filter(verdict -> !isTrialDue(verdict, request, nowNanos))
                .findFirst()
                .map(verdict -> new Refusal(verdict.suspects(), trials.retryAfterMs(verdict, nowNanos)));
    }

    private List<Verdict> verdictsOn(RequestIdentity request) {
        List<Verdict> verdicts = new ArrayList<>();
        suspects.find(request.request())
                .filter(Suspect::isQuarantined)
                .map(suspect ->
                        new Verdict(Set.of(suspect.id()), suspect.crashCount(), suspect.lastCrashNanos(), false))
                .ifPresent(verdicts::add);
        if (!partVerdicts.isEmpty()) {
            Set<SuspectId> parts = new HashSet<>(request.parts());
            partVerdicts.stream()
                    .filter(verdict -> parts.containsAll(verdict.suspects()))
                    .forEach(verdicts::add);
        }
        return verdicts;
    }

    /** Like {@link #refusal}, right before the request is sent; one that is not refused uses up a due trial. */
    Optional<Refusal> refusalOfSend(RequestIdentity request, long nowNanos) {
        Optional<Refusal> refusal = refusal(request, nowNanos);
        if (refusal.isEmpty()) {
            verdictsOn(request).forEach(verdict -> trials.recordTrial(verdict, nowNanos));
        }
        return refusal;
    }

    private boolean isTrialDue(Verdict verdict, RequestIdentity request, long nowNanos) {
        if (!trials.isDue(verdict, nowNanos)) {
            return false;
        }
        int rank = RendezvousHash.order(verdict.first().toString(), hosts).indexOf(self);
        return rank >= 0
                && rank < trials.trialHosts(verdict, nowNanos)
                && (!verdict.isAmbiguous() || holdsNoOtherSuspect(request, verdict));
    }

    /** Whether the answer to a request, or its crash, decides on the suspects of a verdict. */
    private boolean holdsNoOtherSuspect(RequestIdentity request, Verdict verdict) {
        return request.parts().stream()
                .filter(part -> !verdict.suspects().contains(part))
                .allMatch(part -> suspects.find(part)
                        .filter(suspect -> suspect.crashCount() > 0)
                        .isEmpty());
    }
}
