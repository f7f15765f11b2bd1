package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectEvidence;
import io.figspan.cluster.message.SuspectId;
import io.figspan.cluster.message.SuspectKind;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.RequestFingerprint;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** The evidence for and against one suspect, merged from all hosts. Merging is idempotent and commutative. */
final class Suspect {
    /** Bounds the size of the evidence; more crashes don't change a decision. */
    static final int MAX_CRASHES = 16;

    /** Crashes that are received within this time count as one, since they may have one cause of their own. */
    static final long SIMULTANEOUS_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Not fewer than the crashes, since older evidence of other hosts would bring back the rest. */
    private static final int MAX_REFUTED = MAX_CRASHES;

    /** As many as show that not one request alone is the cause. */
    private static final int MAX_REQUESTS = 2;

    private final SuspectId id;
    private final EvidenceVersion version;
    private final Map<BackendIncarnation, Long> receivedNanosByCrash = new LinkedHashMap<>();
    private final Set<BackendIncarnation> refuted = new LinkedHashSet<>();
    private final TreeSet<RequestFingerprint> requests = new TreeSet<>();
    private long lastCrashNanos;
    private long lastChangeNanos;
    private boolean isQuarantined;
    private boolean isQuarantinedElsewhere;
    private boolean isObservedHere;

    Suspect(SuspectId id, EvidenceVersion version, long lastCrashNanos, long nowNanos) {
        this.id = id;
        this.version = version;
        this.lastCrashNanos = lastCrashNanos;
        this.lastChangeNanos = nowNanos;
    }

    SuspectId id() {
        return id;
    }

    SuspectKind kind() {
        return id.kind();
    }

    long lastCrashNanos() {
        return lastCrashNanos;
    }

    long lastChangeNanos() {
        return lastChangeNanos;
    }

    boolean isQuarantined() {
        return isQuarantined;
    }

    void quarantine() {
        if (!isQuarantined) {
            isQuarantined = true;
            version.changed();
        }
    }

    void release() {
        isQuarantined = false;
        isQuarantinedElsewhere = false;
        version.changed();
    }

    /** Whether another host has reported that it has quarantined the suspect. */
    boolean isQuarantinedElsewhere() {
        return isQuarantinedElsewhere;
    }

    /** Whether this host has observed a crash under the suspect itself. */
    boolean isObservedHere() {
        return isObservedHere;
    }

    void setObservedHere() {
        isObservedHere = true;
    }

    /** Number of different requests under which servers crashed, up to {@link #MAX_REQUESTS}. */
    int requestCount() {
        return requests.size();
    }

    /** Adds requests under which a server crashed. All hosts keep the same ones, the first in their order. */
    boolean addRequests(Collection<RequestFingerprint> added) {
        if (requests.containsAll(added)) {
            return false;
        }
        Set<RequestFingerprint> before = Set.copyOf(requests);
        requests.addAll(added);
        while (requests.size() > MAX_REQUESTS) {
            requests.pollLast();
        }
        boolean hasChanged = !requests.equals(before);
        if (hasChanged) {
            version.changed();
        }
        return hasChanged;
    }

    /** The crashes that the suspect may have caused. */
    Set<BackendIncarnation> crashes() {
        return Collections.unmodifiableSet(receivedNanosByCrash.keySet());
    }

    int crashCount() {
        return receivedNanosByCrash.size();
    }

    /** Number of crashes at different times up to {@code untilNanos} that none of the given ones explains. */
    int separateCrashes(Set<BackendIncarnation> explained, long untilNanos) {
        List<Long> receivedNanos = receivedNanosByCrash.entrySet().stream()
                .filter(crash -> !explained.contains(crash.getKey()) && crash.getValue() - untilNanos <= 0)
                .map(Map.Entry::getValue)
                .sorted()
                .toList();
        int count = 0;
        long countedNanos = 0;
        for (long atNanos : receivedNanos) {
            if (count == 0 || atNanos - countedNanos >= SIMULTANEOUS_NANOS) {
                count++;
                countedNanos = atNanos;
            }
        }
        return count;
    }

    /** The earliest time after {@code untilNanos} at which a crash was received; empty if there is none. */
    OptionalLong firstCrashReceivedAfter(long untilNanos) {
        return receivedNanosByCrash.values().stream()
                .mapToLong(Long::longValue)
                .filter(receivedNanos -> receivedNanos - untilNanos > 0)
                .min();
    }

    /** Adds a crash, unless it is known already; returns whether anything has changed. */
    boolean addCrash(BackendIncarnation server, long crashedNanos, long nowNanos) {
        boolean isKnown = receivedNanosByCrash.containsKey(server) || refuted.contains(server);
        if (isKnown || (receivedNanosByCrash.size() >= MAX_CRASHES && !dropSimultaneousCrash())) {
            return false;
        }
        receivedNanosByCrash.put(server, nowNanos);
        version.changed();
        lastCrashNanos = Math.max(lastCrashNanos, crashedNanos);
        lastChangeNanos = nowNanos;
        return true;
    }

    /** Makes room by removing a crash that doesn't count beside an earlier one; returns whether there was one. */
    private boolean dropSimultaneousCrash() {
        Long countedNanos = null;
        for (Map.Entry<BackendIncarnation, Long> crash : receivedNanosByCrash.entrySet()) {
            if (countedNanos != null && crash.getValue() - countedNanos < SIMULTANEOUS_NANOS) {
                receivedNanosByCrash.remove(crash.getKey());
                return true;
            }
            countedNanos = crash.getValue();
        }
        return false;
    }

    /** Refutes a crash, also one that is not known yet; returns whether anything has changed. */
    boolean refute(BackendIncarnation server, long nowNanos) {
        if (!refuted.add(server)) {
            return false;
        }
        if (receivedNanosByCrash.remove(server) != null) {
            version.changed();
        }
        lastChangeNanos = nowNanos;
        if (refuted.size() > MAX_REFUTED) {
            refuted.remove(refuted.iterator().next());
        }
        return true;
    }

    /** Refutes all crashes so far; returns whether there were any. */
    boolean refuteAll(long nowNanos) {
        boolean hadCrashes = !receivedNanosByCrash.isEmpty();
        List.copyOf(crashes()).forEach(server -> refute(server, nowNanos));
        requests.clear();
        return hadCrashes;
    }

    /** Merges what another host knows; returns whether anything has changed. */
    boolean merge(SuspectEvidence received, long crashedNanos, long nowNanos) {
        boolean hasChanged = received.isQuarantined() && !isQuarantinedElsewhere;
        if (hasChanged) {
            isQuarantinedElsewhere = true;
            version.changed();
        }
        for (BackendIncarnation server : received.refuted()) {
            hasChanged |= refute(server, nowNanos);
        }
        for (BackendIncarnation server : received.crashes()) {
            hasChanged |= addCrash(server, crashedNanos, nowNanos);
        }
        if (!receivedNanosByCrash.isEmpty()) {
            hasChanged |= addRequests(received.requests());
        }
        return hasChanged;
    }

    /** Whether a host that knows what another one has sent knows all that this one does. */
    boolean isCoveredBy(SuspectEvidence sent) {
        return sent.refuted().containsAll(refuted)
                && sent.crashes().containsAll(crashes())
                && sent.requests().containsAll(requests)
                && (sent.isQuarantined() || !isQuarantined);
    }

    /** What this host knows of the suspect, as of now. */
    Knowledge knowledge() {
        return new Knowledge(
                id.kind(),
                isQuarantined,
                lastCrashNanos,
                List.copyOf(crashes()),
                List.copyOf(refuted),
                List.copyOf(requests));
    }

    /** What a host knows of one suspect, or of several for which it is the same. */
    record Knowledge(
            SuspectKind kind,
            boolean isQuarantined,
            long lastCrashNanos,
            List<BackendIncarnation> crashes,
            List<BackendIncarnation> refuted,
            List<RequestFingerprint> requests) {
        SuspectEvidence toEvidence(List<SuspectId> suspects, long nowNanos) {
            long ageMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - lastCrashNanos));
            return new SuspectEvidence(suspects, isQuarantined, ageMs, crashes, refuted, requests);
        }
    }
}
