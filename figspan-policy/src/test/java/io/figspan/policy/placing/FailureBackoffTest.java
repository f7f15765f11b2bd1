package io.figspan.policy.placing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FailureBackoffTest {
    private final FailureBackoff backoff = new FailureBackoff();

    @Test
    void backoffDoublesWithEachConsecutiveFailure() {
        backoff.recordFailure(0);
        assertTrue(backoff.isActive(499));
        assertFalse(backoff.isActive(500));

        backoff.recordFailure(500);
        assertTrue(backoff.isActive(1_499));
        assertFalse(backoff.isActive(1_500));
    }

    @Test
    void failuresDuringTheBackoffCountAsOne() {
        backoff.recordFailure(0);
        backoff.recordFailure(10);
        backoff.recordFailure(20);

        assertFalse(backoff.isActive(500));
    }

    @Test
    void aSuccessResetsTheBackoffToTheInitialTime() {
        backoff.recordFailure(0);
        backoff.recordFailure(500);
        backoff.recordSuccess();

        backoff.recordFailure(2_000);

        assertFalse(backoff.isActive(2_500));
    }

    @Test
    void backoffNeverExceedsTwoSeconds() {
        for (int failure = 0; failure < 10; failure++) {
            backoff.recordFailure(failure * 10_000.0);
        }

        assertFalse(backoff.isActive(92_000));
    }
}
