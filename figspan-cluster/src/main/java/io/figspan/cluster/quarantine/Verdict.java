package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectId;
import io.figspan.cluster.message.SuspectKind;
import java.util.Comparator;
import java.util.Set;

/**
 * The decision that suspects cause crashes. Several are prompt parts that all crashes have in common, one of which is
 * the cause: only prompts that hold all of them are refused, since the answer to any other one, or its crash,
 * distinguishes them (group testing).
 *
 * @param crashes number of crashes that the suspects have in common
 * @param lastCrashNanos monotonic time of the latest crash
 * @param isAmbiguous whether the crashes may have several independent causes among narrower suspects, so that a prompt
 *     without those should be tried soon
 */
record Verdict(Set<SuspectId> suspects, int crashes, long lastCrashNanos, boolean isAmbiguous) {
    Verdict {
        suspects = Set.copyOf(suspects);
    }

    SuspectKind kind() {
        return suspects.iterator().next().kind();
    }

    /** Whether the crashes so far don't distinguish the suspects. */
    boolean isTie() {
        return suspects.size() > 1;
    }

    /** Names the decision in the same way at all hosts. */
    SuspectId first() {
        return suspects.stream().min(Comparator.comparing(SuspectId::toString)).orElseThrow();
    }
}
