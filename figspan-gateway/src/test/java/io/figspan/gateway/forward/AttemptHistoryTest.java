package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.RunState;
import io.figspan.core.time.Deadline;
import io.figspan.policy.retry.WindowedRetryBudget;
import io.figspan.settings.gateway.RequestKind;
import io.figspan.settings.gateway.Route;
import java.util.List;
import org.junit.jupiter.api.Test;

class AttemptHistoryTest {
    private static final long NOW_NANOS = 0;
    private static final long TIMEOUT_MS = 2_000;
    private static final Deadline DEADLINE = Deadline.after(NOW_NANOS, TIMEOUT_MS);
    private static final int MAX_ATTEMPTS = 2;

    private final WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 100, 10_000);

    @Test
    void unreachableServersDoNotCountAsAttemptsAndNeedNoRetryBudget() {
        AttemptHistory history = history(RequestKind.NON_IDEMPOTENT, false);

        assertTrue(failAndRetry(history, AttemptEnd.NOT_CONNECTED));
        assertTrue(failAndRetry(history, AttemptEnd.NOT_CONNECTED));
        assertFalse(failAndRetry(history, AttemptEnd.NOT_CONNECTED));

        assertEquals(0, history.attempts());
        assertEquals(0, budget.retriesInWindow());
    }

    @Test
    void unreachableServersDoNotSoonEndABegunResponse() {
        AttemptHistory history = history(RequestKind.STREAM, true);

        for (int servers = 0; servers < 20; servers++) {
            history.recordSent();
            history.recordFailure(AttemptEnd.NOT_CONNECTED);
            assertTrue(history.tryRetry(AttemptEnd.NOT_CONNECTED, true, NOW_NANOS));
        }

        assertEquals(0, budget.retriesInWindow());
    }

    @Test
    void attemptsWithdrawnFromDrainingServersDoNotCountAndNeedNoRetryBudget() {
        AttemptHistory history = history(RequestKind.NON_IDEMPOTENT, false);

        for (int servers = 0; servers < 10; servers++) {
            assertTrue(failAndRetry(history, AttemptEnd.WITHDRAWN));
        }

        assertEquals(0, history.attempts());
        assertEquals(0, budget.retriesInWindow());
    }

    @Test
    void failuresOfHelpersDoNotCountAsAttemptsButEndTheRequestInTheEnd() {
        AttemptHistory history = history(RequestKind.NON_IDEMPOTENT, false);

        for (int i = 1; i < 6; i++) {
            assertTrue(failAndRetry(history, AttemptEnd.HELPER_FAILED));
        }
        assertFalse(failAndRetry(history, AttemptEnd.HELPER_FAILED));

        assertEquals(0, history.attempts());
        assertEquals(5, budget.retriesInWindow());
    }

    @Test
    void theMaximumOfTheRouteEndsTheRetries() {
        AttemptHistory history = history(RequestKind.IDEMPOTENT, false);

        assertTrue(failAndRetry(history, AttemptEnd.BROKEN));
        assertFalse(failAndRetry(history, AttemptEnd.BROKEN));

        assertEquals(MAX_ATTEMPTS, history.attempts());
    }

    @Test
    void aNonIdempotentRequestIsOnlyRetriedIfItCannotHaveRun() {
        // Guards against running an order twice.
        assertTrue(failAndRetry(history(RequestKind.NON_IDEMPOTENT, false), AttemptEnd.TURNED_AWAY));
        assertFalse(failAndRetry(history(RequestKind.NON_IDEMPOTENT, false), AttemptEnd.BROKEN));
        assertFalse(failAndRetry(history(RequestKind.NON_IDEMPOTENT, false), AttemptEnd.FAILED));
    }

    @Test
    void aBegunResponseIsOnlyRetriedIfItIsResumable() {
        assertTrue(history(RequestKind.STREAM, true).tryRetry(AttemptEnd.TURNED_AWAY, true, NOW_NANOS));
        assertFalse(history(RequestKind.STREAM, false).tryRetry(AttemptEnd.TURNED_AWAY, true, NOW_NANOS));
    }

    @Test
    void nothingIsRetriedOrReservedAfterTheDeadline() {
        AttemptHistory history = history(RequestKind.IDEMPOTENT, false);
        long lateNanos = DEADLINE.atNanos() + 1;

        assertFalse(history.tryRetry(AttemptEnd.NOT_CONNECTED, false, lateNanos));
        assertFalse(history.mayReserveAgain(lateNanos));
    }

    @Test
    void theThirdFailedReservationIsTheLast() {
        AttemptHistory history = history(RequestKind.STREAM, true);

        history.recordFailedReservation();
        history.recordFailedReservation();
        assertTrue(history.mayReserveAgain(NOW_NANOS));
        history.recordFailedReservation();

        assertFalse(history.mayReserveAgain(NOW_NANOS));
    }

    @Test
    void aRequestThatMayHaveRunIsNeverReportedAsNotRun() {
        // Guards against a refusal after which the caller sends an order again that has run.
        AttemptHistory history = history(RequestKind.IDEMPOTENT, false);
        Problem problem = Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "detail");
        history.recordFailure(AttemptEnd.TURNED_AWAY);
        assertEquals(problem, history.withTrueRunState(problem));

        history.recordFailure(AttemptEnd.BROKEN);
        history.recordFailure(AttemptEnd.TURNED_AWAY);

        Problem reported = history.withTrueRunState(problem);
        assertEquals(ProblemKind.BACKEND_FAILED, reported.kind());
        assertEquals(RunState.UNKNOWN, reported.run());
        assertEquals("detail", reported.detail());
    }

    private static boolean failAndRetry(AttemptHistory history, AttemptEnd end) {
        history.recordSent();
        history.recordFailure(end);
        return history.tryRetry(end, false, NOW_NANOS);
    }

    private AttemptHistory history(RequestKind kind, boolean isResumable) {
        Route route = new Route(
                "route",
                "a.example",
                "/",
                kind,
                TIMEOUT_MS,
                300,
                1,
                List.of(),
                MAX_ATTEMPTS,
                false,
                false,
                isResumable,
                0);
        return new AttemptHistory(route, DEADLINE, () -> budget);
    }
}
