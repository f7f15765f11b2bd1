package io.figspan.policy.admission;

import io.figspan.core.error.Problem;

/** Outcome of an admission. */
public sealed interface AdmissionDecision {
    /** The prompt is admitted with these predicted times on the host's monotonic clock. */
    record Admitted(long firstTokenNanos, long finishNanos) implements AdmissionDecision {}

    /** The prompt is refused; nothing of it was run. */
    record Refused(Problem problem) implements AdmissionDecision {}

    default boolean isAdmitted() {
        return this instanceof Admitted;
    }
}
