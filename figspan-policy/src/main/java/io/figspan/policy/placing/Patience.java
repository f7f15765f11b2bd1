package io.figspan.policy.placing;

import io.figspan.core.work.PlacedRequest;
import io.figspan.policy.engine.LateLoss;

/** How long callers wait before they leave, as far as it follows from the targets of their requests. */
final class Patience {
    /** Callers leave when nothing has come for so many targets, and not before they would within an answer. */
    private static final double TARGETS = 4;

    private Patience() {}

    /** When the caller of a job has left; no later than it said. */
    static double endMs(Job job) {
        double ofTargetMs = TARGETS * Millis.of(job.targetLatencyNanos());
        double patienceMs = Math.max(ofTargetMs, LateLoss.patienceMs(Millis.of(job.maxGapNanos())));
        double deadlineMs = Millis.of(job.deadline().atNanos());
        return Math.min(deadlineMs, Millis.of(job.waitingSinceNanos()) + patienceMs);
    }

    /** The same for a request of another host, whose target follows from when it was sent and when it is due. */
    static double endMs(PlacedRequest work, double nowMs) {
        double targetMs = Math.max(0, work.ageMs() + work.dueInMs());
        return nowMs - work.ageMs() + Math.max(LateLoss.patienceMs(0), TARGETS * targetMs);
    }
}
