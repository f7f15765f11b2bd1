package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.policy.drain.DrainPlan;
import io.figspan.policy.drain.DurationEstimate;
import io.figspan.policy.drain.RequestDurations;
import io.figspan.policy.drain.RequestProfile;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.PromptLengths;
import io.figspan.settings.gateway.Route;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The planned stop of this host as its requests see it: whether a request still ends in time, and the answers to those
 * that don't. Confined to the event loop.
 */
public final class DrainControl {
    /** Maximum number of ids of each kind in the log line at the end of the stop. */
    static final int MAX_LISTED_IDS = 64;

    private final RandomGenerator random;
    private final DrainLog log;
    private final RequestDurations durations = new RequestDurations();
    private final EndedRequests refused = new EndedRequests();
    private final EndedRequests interrupted = new EndedRequests();
    private Optional<DrainPlan> plan = Optional.empty();
    private long inProgress;
    private boolean areLastAnswersDue;

    /** The number of requests that ended in one way because of the stop, with the ids of the first ones. */
    public static final class EndedRequests {
        private final List<String> ids = new ArrayList<>();
        private long count;

        void add(String requestId) {
            count++;
            if (ids.size() < MAX_LISTED_IDS) {
                ids.add(requestId);
            }
        }

        public long count() {
            return count;
        }

        public List<String> ids() {
            return List.copyOf(ids);
        }
    }

    DrainControl(RandomGenerator random, DecisionLog log, GatewayMetrics metrics) {
        this.random = random;
        this.log = new DrainLog(log, metrics);
    }

    RequestDurations durations() {
        return durations;
    }

    void begin(DrainPlan newPlan) {
        plan = Optional.of(newPlan);
    }

    boolean hasBegun() {
        return plan.isPresent();
    }

    /** Sets the number of connections whose answers are not written yet. */
    void setInProgress(long newInProgress) {
        inProgress = newInProgress;
    }

    /** From now on no request fits any more. */
    void lastAnswersDue() {
        areLastAnswersDue = true;
    }

    /** Requests that were refused as not run. */
    public EndedRequests refused() {
        return refused;
    }

    /** Requests that may have run and got no answer of a server, and streams that were broken off. */
    public EndedRequests interrupted() {
        return interrupted;
    }

    /** Records the duration of an answered request for later estimates. */
    void recordDuration(Route route, Job job, long nowNanos) {
        durations.record(profile(route, job.prompt()), nowNanos - job.arrivedNanos());
    }

    /** Whether the request ends before this host stops. */
    boolean fits(Route route, Job job, long nowNanos) {
        return plan.isEmpty()
                || fits(Math.min(expectedMs(route, job.prompt()), job.deadline().leftMs(nowNanos)), nowNanos);
    }

    /** Whether a request whose body is still arriving ends before this host stops. */
    boolean fits(Route route, Optional<PromptLengths> prompt, long nowNanos) {
        return plan.isEmpty() || fits(expectedMs(route, prompt), nowNanos);
    }

    /** Whether a request that takes no time ends before this host stops. */
    boolean fits(long nowNanos) {
        return fits(0, nowNanos);
    }

    private boolean fits(long expectedMs, long nowNanos) {
        return !areLastAnswersDue
                && plan.filter(known -> !known.fits(expectedMs, inProgress, nowNanos))
                        .isEmpty();
    }

    private long expectedMs(Route route, Optional<PromptLengths> prompt) {
        return estimate(route, prompt).expectedMs();
    }

    private DurationEstimate estimate(Route route, Optional<PromptLengths> prompt) {
        return durations.estimate(profile(route, prompt));
    }

    private static RequestProfile profile(Route route, Optional<PromptLengths> prompt) {
        return new RequestProfile(route.name(), prompt, route.mayRepeat(), route.timeoutMs());
    }

    /** Logs that a request is sent to a server during the stop, and the estimate that allows it. */
    void logSent(Route route, Job job, long nowNanos) {
        plan.ifPresent(known -> log.sent(job.requestId(), estimate(route, job.prompt()), timing(known, nowNanos)));
    }

    /** The answer to a request that has not run, although its route is known. */
    Problem refuse(String requestId, Route route, Optional<PromptLengths> prompt, long nowNanos) {
        plan.ifPresent(known -> log.refused(requestId, estimate(route, prompt), timing(known, nowNanos)));
        refused.add(requestId);
        return refusal();
    }

    /** The answer to a request that has not run and for whose duration nothing is estimated. */
    Problem refuse(String requestId, long nowNanos) {
        plan.ifPresent(known -> log.refused(requestId, timing(known, nowNanos)));
        refused.add(requestId);
        return refusal();
    }

    private DrainLog.Timing timing(DrainPlan known, long nowNanos) {
        return new DrainLog.Timing(known.elapsedMs(nowNanos), known.leftMs(inProgress, nowNanos), inProgress);
    }

    /** The answer to a request whose id has not arrived yet. */
    public Problem refusal() {
        return Problem.notRun(ProblemKind.SHUTTING_DOWN, "this host stops before the request could end")
                .withRetryAfterMs(retryAfterMs());
    }

    /** The answer to a request that may have run; its caller is told to come back only if it may be repeated. */
    Problem interrupt(Route route, Job job, long nowNanos) {
        long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivedNanos());
        plan.ifPresent(known ->
                log.interrupted(job.requestId(), ageMs, estimate(route, job.prompt()), timing(known, nowNanos)));
        interrupted.add(job.requestId());
        Problem problem = Problem.unknown(ProblemKind.HOST_STOPPED, "this host stopped before the answer came");
        return route.mayRepeat() ? problem.withRetryAfterMs(retryAfterMs()) : problem;
    }

    private long retryAfterMs() {
        return DrainPlan.retryAfterMs(areLastAnswersDue ? inProgress : 0, random);
    }
}
