package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.time.Deadline;
import io.figspan.policy.retry.WindowedRetryBudget;
import io.figspan.settings.gateway.Route;
import java.util.function.Supplier;

/** The attempts of one request so far. They decide whether another one is allowed and what the caller may be told. */
final class AttemptHistory {
    /** Failed attempts to reserve memory at several engines after which the request is refused. */
    private static final int MAX_FAILED_RESERVATIONS = 3;

    /** Unreachable servers after which the request is refused; none of them has received it. */
    private static final int MAX_UNREACHABLE_SERVERS = 3;

    /** The same for a response that has begun: it can't be refused any more, only broken off. */
    private static final int MAX_UNREACHABLE_SERVERS_OF_BEGUN_RESPONSE = 32;

    /** Attempts on one server that failed because of its helpers, after which the request is refused. */
    private static final int MAX_HELPER_FAILURES = 6;

    /** Status code that guarantees that the request has not run and will not run. */
    private static final int HTTP_SERVICE_UNAVAILABLE = 503;

    private final Route route;
    private final Deadline deadline;
    private final Supplier<WindowedRetryBudget> budget;
    private int attempts;
    private int unreachableServers;
    private int helperFailures;
    private int failedReservations;
    private boolean mayHaveRun;

    AttemptHistory(Route route, Deadline deadline, Supplier<WindowedRetryBudget> budget) {
        this.route = route;
        this.deadline = deadline;
        this.budget = budget;
    }

    /** Number of attempts, without those that did not reach the server or failed because of its helpers. */
    int attempts() {
        return attempts;
    }

    void recordSent() {
        attempts++;
    }

    void recordFailedReservation() {
        failedReservations++;
    }

    void recordFailure(AttemptEnd end) {
        mayHaveRun |= end.mayHaveRun();
        if (end == AttemptEnd.WITHDRAWN) {
            attempts--;
        } else if (end == AttemptEnd.NOT_CONNECTED) {
            attempts--;
            unreachableServers++;
        } else if (end == AttemptEnd.HELPER_FAILED) {
            attempts--;
            helperFailures++;
        }
    }

    boolean mayReserveAgain(long nowNanos) {
        return failedReservations < MAX_FAILED_RESERVATIONS && hasTime(nowNanos);
    }

    /**
     * Whether the request may be sent again after an attempt that ended so. If the retry budget is needed, a positive
     * result consumes from it.
     */
    boolean tryRetry(AttemptEnd end, boolean hasBegunResponse, long nowNanos) {
        boolean repeatable = !end.mayHaveRun() || route.mayRepeat();
        boolean resumable = !hasBegunResponse || route.isResumable();
        if (!repeatable || !resumable || !hasTime(nowNanos) || attempts >= route.maxAttempts()) {
            return false;
        }
        if (end == AttemptEnd.WITHDRAWN) {
            return true;
        }
        if (end == AttemptEnd.NOT_CONNECTED) {
            return unreachableServers < maxUnreachableServers(hasBegunResponse);
        }
        if (helperFailures >= MAX_HELPER_FAILURES) {
            return false;
        }
        return budget.get().tryRetry(nowNanos);
    }

    private static int maxUnreachableServers(boolean hasBegunResponse) {
        return hasBegunResponse ? MAX_UNREACHABLE_SERVERS_OF_BEGUN_RESPONSE : MAX_UNREACHABLE_SERVERS;
    }

    private boolean hasTime(long nowNanos) {
        return !deadline.hasPassed(nowNanos);
    }

    /** The problem of a request whose deadline has passed. */
    Problem deadlineProblem() {
        return attempts == 0
                ? Problem.notRun(ProblemKind.DEADLINE_UNREACHABLE, "no backend server was free in time")
                : Problem.unknown(ProblemKind.DEADLINE_PASSED, "no answer in time");
    }

    /** Whether an attempt that has failed may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Replaces a problem that guarantees that nothing was run if the request may have run. */
    Problem withTrueRunState(Problem problem) {
        boolean claimsNotRun = problem.kind().httpStatus() == HTTP_SERVICE_UNAVAILABLE;
        return mayHaveRun && claimsNotRun ? Problem.unknown(ProblemKind.BACKEND_FAILED, problem.detail()) : problem;
    }
}
