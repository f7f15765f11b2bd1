package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.policy.drain.DrainPlan;
import io.figspan.policy.drain.RequestDurations;
import io.figspan.policy.drain.RequestProfile;
import io.figspan.policy.drain.RequestTiming;
import io.figspan.policy.placing.Job;
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

    /** Records a request that was answered, for later estimates. */
    void recordAnswered(RequestProfile request, RequestTiming timing) {
        durations.recordAnswered(request, timing);
    }

    /** Records how long a request has lasted that has no complete answer, for later estimates. */
    void recordUnfinished(RequestProfile request, RequestTiming timing) {
        durations.recordUnfinished(request, timing);
    }

    /** Whether the request ends before this host stops. */
    boolean fits(RequestProfile request, Job job, long nowNanos) {
        return plan.isEmpty()
                || fits(Math.min(durations.expectedMs(request), job.deadline().leftMs(nowNanos)), nowNanos);
    }

    /** Whether a request whose body is still arriving ends before this host stops. */
    boolean fits(RequestProfile request, long nowNanos) {
        return plan.isEmpty() || fits(durations.expectedMs(request), nowNanos);
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

    /** Logs that a request is sent to a server during the stop, and the estimate that allows it. */
    void logSent(String requestId, RequestProfile request, long nowNanos) {
        plan.ifPresent(known -> log.sent(requestId, durations.estimate(request), timing(known, nowNanos)));
    }

    /** The answer to a request that has not run. */
    Problem refuse(String requestId, RequestProfile request, long nowNanos) {
        plan.ifPresent(known -> log.refused(requestId, durations.estimate(request), timing(known, nowNanos)));
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
    Problem interrupt(Job job, RequestProfile request, boolean mayRepeat, long nowNanos) {
        long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivedNanos());
        plan.ifPresent(
                known -> log.interrupted(job.requestId(), ageMs, durations.estimate(request), timing(known, nowNanos)));
        interrupted.add(job.requestId());
        Problem problem = Problem.unknown(ProblemKind.HOST_STOPPED, "this host stopped before the answer came");
        return mayRepeat ? problem.withRetryAfterMs(retryAfterMs()) : problem;
    }

    private long retryAfterMs() {
        return DrainPlan.retryAfterMs(areLastAnswersDue ? inProgress : 0, random);
    }
}
