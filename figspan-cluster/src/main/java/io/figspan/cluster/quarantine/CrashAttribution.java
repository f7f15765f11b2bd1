package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectKind;
import io.figspan.core.id.BackendIncarnation;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which suspects cause the crashes at one time. Of suspects with common crashes the one with the most is the
 * cause; with equally many, a request comes before prompt parts.
 */
final class CrashAttribution {
    /** Crashes of a suspect that is alone with them for which it is quarantined. */
    static final int MIN_CRASHES = 3;

    /** Different requests under which servers must have crashed before a part is quarantined. */
    static final int MIN_REQUESTS_OF_PART = 2;

    /** Crashes of a part without the request for which the part is more likely the cause than the request. */
    private static final int MIN_FURTHER_CRASHES_OF_PART = 2;

    /** Crashes of a request for which it is quarantined although a part has one more. */
    private static final int MIN_CRASHES_BESIDE_PART = 4;

    private static final Comparator<Suspect> MOST_SPECIFIC_PART = Comparator.comparing(Suspect::depth)
            .thenComparing(suspect -> suspect.id().toString());

    private final Collection<Suspect> suspects;
    private final long untilNanos;
    private final Set<BackendIncarnation> explainedToParts = new HashSet<>();

    /** Creates the attribution of the crashes that this host has known of since {@code untilNanos}. */
    CrashAttribution(Collection<Suspect> suspects, long untilNanos) {
        this.suspects = suspects;
        this.untilNanos = untilNanos;
    }

    /** The suspects that are not quarantined yet and must be. */
    List<Suspect> culprits() {
        boolean hasCandidate =
                suspects.stream().anyMatch(suspect -> !suspect.isQuarantined() && suspect.crashCount() >= MIN_CRASHES);
        if (!hasCandidate) {
            return List.of();
        }
        suspects.stream().filter(Suspect::isQuarantined).forEach(this::explainToParts);
        Map<Suspect, Integer> crashes = new HashMap<>();
        for (Suspect suspect : suspects) {
            if (suspect.isQuarantined() || suspect.crashCount() < MIN_CRASHES || !hasEnoughRequests(suspect)) {
                continue;
            }
            int count = unexplainedCrashes(suspect);
            if (count >= MIN_CRASHES) {
                crashes.put(suspect, count);
            }
        }
        return crashes.keySet().stream()
                .filter(suspect -> crashes.keySet().stream().noneMatch(other -> outranks(other, suspect, crashes)))
                .toList();
    }

    private int unexplainedCrashes(Suspect suspect) {
        boolean isPart = suspect.kind() == SuspectKind.PROMPT_PART;
        return suspect.separateCrashes(isPart ? explainedToParts : explainedToRequest(suspect), untilNanos);
    }

    /** A request explains all its crashes but one, since a part may be in several deadly requests. */
    private void explainToParts(Suspect quarantined) {
        boolean isRequest = quarantined.kind() == SuspectKind.REQUEST;
        quarantined.crashes().stream().skip(isRequest ? 1 : 0).forEach(explainedToParts::add);
    }

    /** A quarantined suspect explains nothing to a request that has all its crashes and more, the likelier cause. */
    private Set<BackendIncarnation> explainedToRequest(Suspect request) {
        Set<BackendIncarnation> explained = new HashSet<>();
        suspects.stream()
                .filter(other -> other.isQuarantined() && !hasMoreThan(request, other))
                .forEach(other -> explained.addAll(other.crashes()));
        return explained;
    }

    private static boolean hasMoreThan(Suspect larger, Suspect smaller) {
        return larger.crashCount() > smaller.crashCount() && larger.crashes().containsAll(smaller.crashes());
    }

    private static boolean hasEnoughRequests(Suspect suspect) {
        return suspect.kind() == SuspectKind.REQUEST || suspect.requestCount() >= MIN_REQUESTS_OF_PART;
    }

    /** Whether a suspect is not quarantined now because of another one. */
    private boolean outranks(Suspect other, Suspect suspect, Map<Suspect, Integer> crashes) {
        if (other == suspect || Collections.disjoint(other.crashes(), suspect.crashes())) {
            return false;
        }
        if (other.kind() == suspect.kind()) {
            return outranksSameKind(other, suspect, crashes);
        }
        if (suspect.kind() == SuspectKind.PROMPT_PART) {
            return furtherCrashes(suspect, other) < MIN_FURTHER_CRASHES_OF_PART;
        }
        int further = furtherCrashes(other, suspect);
        boolean isUndecided = further > 0 && crashes.get(suspect) < MIN_CRASHES_BESIDE_PART;
        return further >= MIN_FURTHER_CRASHES_OF_PART || isUndecided;
    }

    private static boolean outranksSameKind(Suspect other, Suspect suspect, Map<Suspect, Integer> crashes) {
        int count = crashes.get(suspect);
        int otherCount = crashes.get(other);
        if (count != otherCount || count < suspect.kind().minCrashesWhenTied()) {
            return otherCount >= count;
        }
        return suspect.kind() == SuspectKind.PROMPT_PART && MOST_SPECIFIC_PART.compare(other, suspect) > 0;
    }

    /** Crashes of a part that neither the request nor a quarantined suspect explains. */
    private int furtherCrashes(Suspect part, Suspect request) {
        Set<BackendIncarnation> explained = new HashSet<>(explainedToParts);
        explained.addAll(request.crashes());
        return part.separateCrashes(explained, untilNanos);
    }

    /** Whether another quarantined request explains all crashes of a request, and more. */
    static boolean isExplained(Suspect suspect, Collection<Suspect> suspects) {
        return suspect.kind() == SuspectKind.REQUEST
                && suspects.stream()
                        .filter(other -> other.isQuarantined() && other.kind() == SuspectKind.REQUEST)
                        .anyMatch(other -> hasMoreThan(other, suspect));
    }
}
