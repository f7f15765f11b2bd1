package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.SuspectEvidence;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.PromptPartId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The suspect prompt parts, a bounded number of them, and the decision which of them causes crashes. */
final class SuspectTable {
    /** Crashes of the only part with so many for which it is quarantined. */
    static final int MIN_CRASHES = 3;

    /** Crashes for which the most specific part is quarantined if several parts have as many. */
    static final int MIN_CRASHES_WHEN_TIED = 4;

    /** Bounds the table; the part whose latest crash is the oldest makes room, unless it is quarantined. */
    static final int MAX_PARTS = 512;

    /** Bounds a message to a few kilobytes. */
    static final int MAX_PARTS_PER_MESSAGE = 32;

    /** Changes are repeated at the shorter interval for this long, so that lost messages don't matter. */
    static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** A part without a new crash for this long is no longer suspected. */
    static final long SUSPICION_EXPIRY_NANOS = TimeUnit.MINUTES.toNanos(10);

    static final long QUARANTINE_EXPIRY_NANOS = TimeUnit.DAYS.toNanos(1);

    /** Time for other hosts to refute a crash before it counts. */
    static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final Map<PromptPartId, Suspect> suspects = new LinkedHashMap<>();

    Collection<Suspect> all() {
        return suspects.values();
    }

    /** Returns the part if it is suspected. */
    Optional<Suspect> find(PromptPartId part) {
        return Optional.ofNullable(suspects.get(part));
    }

    /** Returns the part, which is suspected from now on because of a crash at {@code crashedNanos}. */
    Suspect findOrAdd(PromptPartId part, long crashedNanos, long nowNanos) {
        Suspect known = suspects.get(part);
        if (known != null) {
            return known;
        }
        makeRoom();
        Suspect added = new Suspect(part, crashedNanos, nowNanos);
        suspects.put(part, added);
        return added;
    }

    private void makeRoom() {
        if (suspects.size() < MAX_PARTS) {
            return;
        }
        suspects.values().stream()
                .min(Comparator.comparing(Suspect::isQuarantined).thenComparing(Suspect::lastCrashNanos))
                .ifPresent(oldest -> suspects.remove(oldest.part()));
    }

    void removeExpired(long nowNanos) {
        suspects.values()
                .removeIf(suspect -> nowNanos - suspect.lastCrashNanos() >= expiryNanos(suspect.isQuarantined()));
    }

    /** Time after the latest crash after which a part is forgotten. */
    static long expiryNanos(boolean isQuarantined) {
        return isQuarantined ? QUARANTINE_EXPIRY_NANOS : SUSPICION_EXPIRY_NANOS;
    }

    /** The part with the most crashes that no quarantined part explains, if that is evidence enough. */
    Optional<Suspect> nextCulprit(long nowNanos) {
        boolean hasCandidate = suspects.values().stream()
                .anyMatch(suspect -> !suspect.isQuarantined() && suspect.crashCount() >= MIN_CRASHES);
        if (!hasCandidate) {
            return Optional.empty();
        }
        int most = MIN_CRASHES;
        List<Suspect> leading = new ArrayList<>();
        Set<BackendIncarnation> explained = explainedCrashes();
        for (Suspect suspect : suspects.values()) {
            int crashes = suspect.isQuarantined() ? 0 : suspect.separateCrashes(explained, nowNanos - SETTLE_NANOS);
            if (crashes > most) {
                leading.clear();
                most = crashes;
            }
            if (crashes == most) {
                leading.add(suspect);
            }
        }
        if (leading.size() > 1 && most < MIN_CRASHES_WHEN_TIED) {
            return Optional.empty();
        }
        return leading.stream().max(Comparator.comparing(Suspect::depth).thenComparing(Suspect::part));
    }

    private Set<BackendIncarnation> explainedCrashes() {
        Set<BackendIncarnation> explained = new HashSet<>();
        suspects.values().stream()
                .filter(Suspect::isQuarantined)
                .forEach(suspect -> explained.addAll(suspect.crashes()));
        return explained;
    }

    /** A message with the evidence on these parts, the most important first; empty if there is none to report. */
    static Optional<PeerMessage.CrashEvidence> message(Collection<Suspect> from, long nowNanos) {
        List<SuspectEvidence> parts = from.stream()
                .filter(suspect -> suspect.crashCount() > 0 || hasChangedLately(suspect, nowNanos))
                .sorted(Comparator.comparing(Suspect::isQuarantined)
                        .thenComparing(Suspect::lastChangeNanos)
                        .reversed())
                .limit(MAX_PARTS_PER_MESSAGE)
                .map(suspect -> suspect.toEvidence(nowNanos))
                .toList();
        return parts.isEmpty() ? Optional.empty() : Optional.of(new PeerMessage.CrashEvidence(parts));
    }

    boolean hasChangedLately(long nowNanos) {
        return suspects.values().stream().anyMatch(suspect -> hasChangedLately(suspect, nowNanos));
    }

    private static boolean hasChangedLately(Suspect suspect, long nowNanos) {
        return nowNanos - suspect.lastChangeNanos() < REPEAT_NANOS;
    }
}
