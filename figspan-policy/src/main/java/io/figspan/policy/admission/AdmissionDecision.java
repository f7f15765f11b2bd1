package io.figspan.policy.admission;

import io.figspan.core.error.Problem;

/** Outcome of admission control for one prompt. */
public sealed interface AdmissionDecision {
    /** The prompt is admitted; the predicted times are in nanoseconds on the host's monotonic clock. */
    record Admitted(long firstTokenNanos, long finishNanos) implements AdmissionDecision {}

    /** The prompt is refused without having been run in any part. */
    record Refused(Problem problem) implements AdmissionDecision {}

    default boolean isAdmitted() {
        return this instanceof Admitted;
    }
}
