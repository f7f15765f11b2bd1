package io.figspan.policy.placing;

import io.figspan.core.work.PlacedWork;

/** How long callers wait before they leave, as far as it follows from the targets of their requests. */
final class Patience {
    /** Callers leave when nothing has come for the longest of so many targets, so many gaps, and the time below. */
    private static final double TARGETS = 4;

    private static final double GAPS = 8;
    private static final double LEAST_MS = 2_000;
    private static final double NANOS_PER_MS = 1e6;

    private Patience() {}

    /** When the caller of a job has left; no later than it said. */
    static double endMs(Job job) {
        double ofTargetMs = TARGETS * job.targetLatencyNanos() / NANOS_PER_MS;
        double ofGapMs = GAPS * job.maxGapNanos() / NANOS_PER_MS;
        double patienceMs = Math.max(LEAST_MS, Math.max(ofTargetMs, ofGapMs));
        double deadlineMs = job.deadline().atNanos() / NANOS_PER_MS;
        return Math.min(deadlineMs, job.waitingSinceNanos() / NANOS_PER_MS + patienceMs);
    }

    /** The same for a request of another host, whose target follows from when it was sent and when it is due. */
    static double endMs(PlacedWork work, double nowMs) {
        double targetMs = Math.max(0, work.sentAgoMs() + work.dueInMs());
        return nowMs - work.sentAgoMs() + Math.max(LEAST_MS, TARGETS * targetMs);
    }
}
