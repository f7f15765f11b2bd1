package io.figspan.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.RunState;
import io.figspan.core.time.Deadline;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.policy.recovery.Recovery;
import io.figspan.policy.recovery.RecoveryPolicy;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against retries that amplify the load on a failing fleet, and against resuming a stream that cannot finish by
 * its deadline instead of failing it immediately.
 */
class RetryAndRecoveryTest {
    private static final EngineSpeed SPEED = new EngineSpeed(40_000, 2_048, 50_000_000, 400_000);
    private static final long SECOND = 1_000_000_000L;

    @Test
    void retriesNeverExceedATenthOfTheFirstAttempts() {
        SplittableRandom random = new SplittableRandom(1);
        RetryBudget budget = new RetryBudget(RetryBudget.DEFAULT_FRACTION);
        int retries = 0;
        for (int attempts = 1; attempts <= 1_000; attempts++) {
            budget.recordFirstAttempt();
            OptionalLong delay = budget.tryRetry(true, RetryBudget.Failure.BACKEND_FAILED, 1, SECOND, random);
            retries += delay.isPresent() ? 1 : 0;
            assertTrue(retries <= attempts * 0.1 + 1e-9);
            assertTrue(delay.orElse(0) <= RetryBudget.INITIAL_DELAY_NANOS);
        }
        assertTrue(retries >= 99, "fewer retries than the budget allows: " + retries);
    }

    @Test
    void callsThatAreNotIdempotentWereShedOrAreOutOfTimeAreNotRetried() {
        SplittableRandom random = new SplittableRandom(1);
        RetryBudget budget = new RetryBudget(1);
        for (int i = 0; i < 100; i++) {
            budget.recordFirstAttempt();
        }
        assertEquals(RetryBudget.MAX_AVAILABLE_RETRIES, budget.availableRetries());
        assertTrue(budget.tryRetry(false, RetryBudget.Failure.BACKEND_FAILED, 1, SECOND, random)
                .isEmpty());
        assertTrue(budget.tryRetry(true, RetryBudget.Failure.LOAD_SHED, 1, SECOND, random)
                .isEmpty());
        assertTrue(budget.tryRetry(true, RetryBudget.Failure.BACKEND_FAILED, 1, 0, random)
                .isEmpty());
        assertEquals(RetryBudget.MAX_AVAILABLE_RETRIES, budget.availableRetries());
    }

    @Test
    void aStreamResumesFromTheExportedCacheWhenFullPrefillWouldMissTheDeadline() {
        RecoveryPolicy policy = new RecoveryPolicy(SPEED, 1);
        Deadline deadline = new Deadline(10 * SECOND);
        Recovery fromStart = policy.decide(new RecoveryPolicy.InterruptedStream(400_000, 10, 30, 0, 0, deadline), 0);
        Recovery.Fail fail = (Recovery.Fail) fromStart;
        assertEquals(RunState.UNKNOWN, fail.problem().run());
        Recovery fromExport =
                policy.decide(new RecoveryPolicy.InterruptedStream(400_000, 10, 30, 300_000, 0, deadline), 0);
        assertEquals(new Recovery.Continue(300_000, 100_010), fromExport);
    }
}
