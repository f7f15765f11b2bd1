package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectId;
import io.figspan.cluster.message.SuspectKind;
import io.figspan.core.id.BackendIncarnation;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides which suspects cause the crashes at one time, anew from all evidence: first those with the most crashes, then
 * those of the crashes that these don't explain. With equally many crashes, a request comes before prompt parts, and
 * parts that crashes don't distinguish are one decision, whatever their places in the prompts.
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

    /** Crashes under which a part may be a cause of its own. */
    private static final int MIN_CRASHES_OF_ALTERNATIVE = 2;

    private final List<Accusation> accusations;
    private final long untilNanos;
    private final List<Accusation> decided = new ArrayList<>();
    private final List<Verdict> verdicts = new ArrayList<>();
    private final Set<BackendIncarnation> explainedToParts = new HashSet<>();

    /** Creates the attribution of the crashes that this host has known of since {@code untilNanos}. */
    CrashAttribution(Collection<Suspect> suspects, long untilNanos) {
        this.accusations = Accusation.of(suspects, MIN_CRASHES_OF_ALTERNATIVE);
        this.untilNanos = untilNanos;
    }

    /** The requests and prompt parts that must be quarantined; requests that are quarantined already remain so. */
    List<Verdict> verdicts() {
        accusations.stream()
                .filter(accusation ->
                        !accusation.isPart() && accusation.suspects().get(0).isQuarantined())
                .forEach(request -> decide(List.of(request)));
        List<List<Accusation>> culprits = culprits();
        while (!culprits.isEmpty()) {
            culprits.forEach(this::decide);
            culprits = culprits();
        }
        return verdicts;
    }

    /** When the next crash that may change the verdicts was received; empty if all such crashes count already. */
    OptionalLong nextCrashNanos() {
        return accusations.stream()
                .filter(accusation -> accusation.crashes().size() >= MIN_CRASHES)
                .flatMapToLong(accusation -> accusation.firstCrashReceivedAfter(untilNanos).stream())
                .min();
    }

    /** The accusations that are not outranked now; those that tie stand together. */
    private List<List<Accusation>> culprits() {
        Map<Accusation, Integer> crashes = new LinkedHashMap<>();
        for (Accusation accusation : accusations) {
            int count = isCandidate(accusation) ? unexplainedCrashes(accusation) : 0;
            if (count >= MIN_CRASHES) {
                crashes.put(accusation, count);
            }
        }
        List<List<Accusation>> culprits = new ArrayList<>();
        Set<Accusation> assigned = new HashSet<>();
        for (Accusation accusation : crashes.keySet()) {
            boolean isOutranked = crashes.keySet().stream().anyMatch(other -> outranks(other, accusation, crashes));
            if (!isOutranked && !assigned.contains(accusation)) {
                List<Accusation> tied = tied(accusation, crashes);
                assigned.addAll(tied);
                culprits.add(tied);
            }
        }
        return culprits;
    }

    private boolean isCandidate(Accusation accusation) {
        return accusation.crashes().size() >= MIN_CRASHES
                && !decided.contains(accusation)
                && (!accusation.isPart() || accusation.requestCount() >= MIN_REQUESTS_OF_PART);
    }

    /** Parts that share crashes and have as many; a request is a decision of its own. */
    private static List<Accusation> tied(Accusation accusation, Map<Accusation, Integer> crashes) {
        return crashes.keySet().stream()
                .filter(other -> other.equals(accusation)
                        || (accusation.isPart()
                                && other.isPart()
                                && other.overlaps(accusation)
                                && crashes.get(other).equals(crashes.get(accusation))))
                .toList();
    }

    private void decide(List<Accusation> tied) {
        List<SuspectId> ids =
                tied.stream().flatMap(accusation -> accusation.ids().stream()).toList();
        int crashes = tied.stream()
                .mapToInt(accusation -> accusation.crashes().size())
                .max()
                .orElseThrow();
        long lastCrashNanos =
                tied.stream().mapToLong(Accusation::lastCrashNanos).max().orElseThrow();
        boolean isAmbiguous = tied.size() == 1 && hasAlternatives(tied.get(0));
        verdicts.add(new Verdict(Set.copyOf(ids), crashes, lastCrashNanos, isAmbiguous));
        decided.addAll(tied);
        tied.forEach(this::explainToParts);
    }

    /**
     * Whether several narrower parts, each with crashes under several requests, may be the causes instead of a part, or
     * of the fewest crashes that count one narrower part and another cause.
     */
    private boolean hasAlternatives(Accusation part) {
        List<Accusation> narrower = accusations.stream()
                .filter(other -> part.isPart() && other.isPart() && part.hasMoreThan(other))
                .filter(other -> other.requestCount() >= MIN_REQUESTS_OF_PART)
                .toList();
        long alternatives = narrower.stream()
                .filter(other -> narrower.stream().noneMatch(wider -> wider.hasMoreThan(other)))
                .count();
        Set<BackendIncarnation> others = new HashSet<>(part.crashes());
        narrower.forEach(other -> others.removeAll(other.crashes()));
        int needed = part.crashes().size() == MIN_CRASHES ? 1 : 2;
        return alternatives >= needed && others.size() < MIN_CRASHES_OF_ALTERNATIVE;
    }

    private int unexplainedCrashes(Accusation accusation) {
        return accusation.unexplainedCrashes(
                accusation.isPart() ? explainedToParts : explainedToRequest(accusation), untilNanos);
    }

    /** A request explains all its crashes but one, since a part may be in several deadly requests. */
    private void explainToParts(Accusation culprit) {
        boolean isRequest = culprit.kind() == SuspectKind.REQUEST;
        culprit.suspects().get(0).crashes().stream().skip(isRequest ? 1 : 0).forEach(explainedToParts::add);
    }

    /** A culprit explains nothing to a request that has all its crashes and more, the likelier cause. */
    private Set<BackendIncarnation> explainedToRequest(Accusation request) {
        Set<BackendIncarnation> explained = new HashSet<>();
        decided.stream()
                .filter(other -> !request.hasMoreThan(other))
                .forEach(other -> explained.addAll(other.crashes()));
        return explained;
    }

    /** Whether an accusation is not decided now because of another one. */
    private boolean outranks(Accusation other, Accusation accusation, Map<Accusation, Integer> crashes) {
        if (other.equals(accusation)) {
            return isUndecidedTie(accusation, crashes.get(accusation));
        }
        if (!other.overlaps(accusation)) {
            return false;
        }
        if (other.kind() == accusation.kind()) {
            int count = crashes.get(accusation);
            int otherCount = crashes.get(other);
            return otherCount > count
                    || (otherCount == count && count < accusation.kind().minCrashesWhenTied());
        }
        if (accusation.isPart()) {
            return furtherCrashes(accusation, other) < MIN_FURTHER_CRASHES_OF_PART;
        }
        int further = furtherCrashes(other, accusation);
        boolean isUndecided = further > 0 && crashes.get(accusation) < MIN_CRASHES_BESIDE_PART;
        return further >= MIN_FURTHER_CRASHES_OF_PART || isUndecided;
    }

    private static boolean isUndecidedTie(Accusation accusation, int count) {
        return accusation.suspects().size() > 1 && count < accusation.kind().minCrashesWhenTied();
    }

    /** Crashes of a part that neither the request nor another culprit explains. */
    private int furtherCrashes(Accusation part, Accusation request) {
        Set<BackendIncarnation> explained = new HashSet<>(explainedToParts);
        explained.addAll(request.crashes());
        return part.separateCrashes(explained, untilNanos);
    }

    /** Whether one of the quarantined requests explains all crashes of a request, and more. */
    static boolean isExplained(Suspect request, Collection<Suspect> quarantinedRequests) {
        return quarantinedRequests.stream()
                .anyMatch(other -> other.crashCount() > request.crashCount()
                        && other.crashes().containsAll(request.crashes()));
    }
}
