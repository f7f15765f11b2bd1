package io.figspan.policy.placing;

import io.figspan.core.work.PlacedRequest;
import io.figspan.policy.engine.LatenessLoss;

/** Estimates when callers abandon their requests, from the latency targets of the requests. */
final class CallerPatience {
    /** Callers abandon a request after this many target latencies, but no sooner than they would within an answer. */
    private static final double PATIENCE_IN_TARGETS = 4;

    private CallerPatience() {}

    /** Returns the time at which the caller of a job gives up, at the latest its deadline. */
    static double abandonMs(Job job) {
        double targetPatienceMs = PATIENCE_IN_TARGETS * Millis.of(job.targetLatencyNanos());
        double patienceMs = Math.max(targetPatienceMs, LatenessLoss.patienceMs(Millis.of(job.maxGapNanos())));
        double deadlineMs = Millis.of(job.deadline().atNanos());
        return Math.min(deadlineMs, Millis.of(job.waitingSinceNanos()) + patienceMs);
    }

    /** The same for a request of another host; its target is derived from when it was sent and when it is due. */
    static double abandonMs(PlacedRequest work, double nowMs) {
        double targetMs = Math.max(0, work.ageMs() + work.dueInMs());
        return nowMs - work.ageMs() + Math.max(LatenessLoss.patienceMs(0), PATIENCE_IN_TARGETS * targetMs);
    }
}
