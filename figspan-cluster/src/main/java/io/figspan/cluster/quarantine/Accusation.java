package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectId;
import io.figspan.cluster.message.SuspectKind;
import io.figspan.core.id.BackendIncarnation;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Crashes and the suspects that have just these. Prompt parts with the same crashes are accused together; a request
 * always stands alone.
 */
record Accusation(SuspectKind kind, Set<BackendIncarnation> crashes, List<Suspect> suspects) {
    /** Groups the suspects with at least this many crashes. */
    static List<Accusation> of(Collection<Suspect> suspects, int minCrashes) {
        List<Accusation> accusations = new ArrayList<>();
        Map<Set<BackendIncarnation>, List<Suspect>> parts = new LinkedHashMap<>();
        for (Suspect suspect : suspects) {
            if (suspect.crashCount() < minCrashes) {
                continue;
            }
            if (suspect.kind() == SuspectKind.PROMPT_PART) {
                parts.computeIfAbsent(Set.copyOf(suspect.crashes()), crashes -> new ArrayList<>())
                        .add(suspect);
            } else {
                accusations.add(new Accusation(suspect.kind(), Set.copyOf(suspect.crashes()), List.of(suspect)));
            }
        }
        parts.forEach((crashes, tied) -> accusations.add(new Accusation(SuspectKind.PROMPT_PART, crashes, tied)));
        return accusations;
    }

    boolean isPart() {
        return kind == SuspectKind.PROMPT_PART;
    }

    /** Whether any host has quarantined one of the suspects already. */
    boolean isQuarantined() {
        return suspects.stream().anyMatch(suspect -> suspect.isQuarantined() || suspect.isQuarantinedElsewhere());
    }

    int requestCount() {
        return suspects.stream().mapToInt(Suspect::requestCount).max().orElse(0);
    }

    /** Number of crashes at different times up to {@code untilNanos} that none of the given ones explains. */
    int separateCrashes(Set<BackendIncarnation> explained, long untilNanos) {
        return suspects.get(0).separateCrashes(explained, untilNanos);
    }

    /** The earliest time after {@code untilNanos} at which one of the crashes was received; empty if there is none. */
    OptionalLong firstCrashReceivedAfter(long untilNanos) {
        return suspects.get(0).firstCrashReceivedAfter(untilNanos);
    }

    /**
     * Number of crashes that none of the given ones explains: those that count for a decision, or all once a host has
     * decided, since others learn of them at the same time.
     */
    int unexplainedCrashes(Set<BackendIncarnation> explained, long untilNanos) {
        if (isPart() && isQuarantined()) {
            return (int)
                    crashes.stream().filter(crash -> !explained.contains(crash)).count();
        }
        return separateCrashes(explained, untilNanos);
    }

    boolean overlaps(Accusation other) {
        return !Collections.disjoint(crashes, other.crashes);
    }

    /** Whether it has all crashes of another one, and more. */
    boolean hasMoreThan(Accusation smaller) {
        return crashes.size() > smaller.crashes.size() && crashes.containsAll(smaller.crashes);
    }

    List<SuspectId> ids() {
        return suspects.stream().map(Suspect::id).toList();
    }

    long lastCrashNanos() {
        return suspects.stream().mapToLong(Suspect::lastCrashNanos).max().orElseThrow();
    }
}
