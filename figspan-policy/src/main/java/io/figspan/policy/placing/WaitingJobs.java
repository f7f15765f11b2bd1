package io.figspan.policy.placing;

import io.figspan.core.id.OrganisationId;
import io.figspan.policy.fair.FairQueue;
import io.figspan.policy.fair.FairQueue.Decision;
import io.figspan.policy.fair.FairQueue.Entry;
import io.figspan.policy.fair.PriorityClass;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * The queued jobs of a placer. They are tried in the order of fair shares between organisations, each at its own retry
 * interval; without organisations that is the order of arrival.
 */
final class WaitingJobs {
    /** Maximum queue length; each queued job occupies memory for its request body. */
    static final int MAX_WAITING = 256;

    /**
     * Waiting time that raises a job by one priority class among those of its organisation: half of the shortest time
     * after which callers give up, so that no class waits in vain for another.
     */
    private static final long AGEING_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The configuration gives organisations no weights. */
    private static final double WEIGHT = 1;

    private final FairQueue<WaitingJob> queue = new FairQueue<>(MAX_WAITING, AGEING_NANOS, organisation -> WEIGHT);

    /** A queued job, and when its placement was last tried. Compared by identity. */
    private static final class WaitingJob {
        final Job job;
        final long retryIntervalNanos;
        long lastTriedNanos;

        WaitingJob(Job job, long retryIntervalNanos, long lastTriedNanos) {
            this.job = job;
            this.retryIntervalNanos = retryIntervalNanos;
            this.lastTriedNanos = lastTriedNanos;
        }
    }

    /** Adds a job that was tried just now. Returns the one that the full queue has displaced, possibly the same. */
    Optional<Job> add(Job job, long retryIntervalNanos, long nowNanos) {
        return queue.offer(new Entry<>(
                        new WaitingJob(job, retryIntervalNanos, nowNanos),
                        OrganisationWork.ownerOf(job),
                        priorityOf(job),
                        OrganisationWork.tokensOf(job),
                        job.arrivedNanos()))
                .map(displaced -> displaced.item().job);
    }

    private static PriorityClass priorityOf(Job job) {
        if (job.organisation().isEmpty()) {
            return PriorityClass.STANDARD;
        }
        PriorityClass[] classes = PriorityClass.values();
        return classes[Math.max(0, Math.min(classes.length - 1, job.rank()))];
    }

    /** Removes a job; does nothing when it isn't queued. */
    void remove(Job job) {
        queue.removeFirst(OrganisationWork.ownerOf(job), waiting -> waiting.job == job);
    }

    /** Removes and returns all jobs in the order of fair shares; none of them counts as served. */
    List<Job> takeAll() {
        List<Job> jobs = new ArrayList<>();
        queue.serve(0, entry -> {
            jobs.add(entry.item().job);
            return Decision.DROP;
        });
        return jobs;
    }

    /** Counts a job that was sent without queueing. */
    void sentDirectly(Job job) {
        queue.charge(OrganisationWork.ownerOf(job), OrganisationWork.tokensOf(job));
    }

    /** Tries the jobs whose retry is due; those that get a placement are removed, and only sends count as service. */
    List<Placement> retry(Function<Job, Optional<Placement>> tryJob, long nowNanos) {
        List<Placement> placements = new ArrayList<>();
        queue.serve(nowNanos, entry -> {
            WaitingJob waiting = entry.item();
            if (nowNanos - waiting.lastTriedNanos < waiting.retryIntervalNanos) {
                return Decision.KEEP;
            }
            waiting.lastTriedNanos = nowNanos;
            Optional<Placement> placement = tryJob.apply(waiting.job);
            placement.ifPresent(placements::add);
            return placement
                    .map(decided -> decided instanceof Placement.Send ? Decision.SERVE : Decision.DROP)
                    .orElse(Decision.KEEP);
        });
        return placements;
    }

    int size() {
        return queue.size();
    }

    /** Returns the share of an organisation, given the work that each has at the engines. */
    FairShare shareOf(OrganisationId organisation, OrganisationWork work) {
        if (queue.size() == queue.size(organisation)) {
            return FairShare.UNLIMITED;
        }
        int jobsWithLess = 0;
        int slotsAwaited = 0;
        for (OrganisationId other : queue.queuedOrganisations()) {
            if (work.tokens(other) < work.tokens(organisation)) {
                jobsWithLess += queue.size(other);
                slotsAwaited += queue.count(other, waiting -> waiting.job.awaitsSlot());
            }
        }
        int organisations = queue.organisations() + work.count(other -> queue.size(other) == 0);
        return new FairShare(work.overuse(organisation, organisations), jobsWithLess, slotsAwaited);
    }
}
