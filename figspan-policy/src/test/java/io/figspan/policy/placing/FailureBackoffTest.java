package io.figspan.policy.placing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AvoidanceTest {
    private final Avoidance avoidance = new Avoidance();

    @Test
    void aServerIsAvoidedLongerWithEachFailureInARow() {
        avoidance.failed(0);
        assertTrue(avoidance.isAvoided(499));
        assertFalse(avoidance.isAvoided(500));

        avoidance.failed(500);
        assertTrue(avoidance.isAvoided(1_499));
        assertFalse(avoidance.isAvoided(1_500));
    }

    @Test
    void failuresOfRequestsThatWereSentBeforeCountAsOne() {
        avoidance.failed(0);
        avoidance.failed(10);
        avoidance.failed(20);

        assertFalse(avoidance.isAvoided(500));
    }

    @Test
    void aServerThatServesAgainStartsAnew() {
        avoidance.failed(0);
        avoidance.failed(500);
        avoidance.served();

        avoidance.failed(2_000);

        assertFalse(avoidance.isAvoided(2_500));
    }

    @Test
    void noServerIsAvoidedForLongerThanTwoSeconds() {
        for (int failure = 0; failure < 10; failure++) {
            avoidance.failed(failure * 10_000.0);
        }

        assertFalse(avoidance.isAvoided(92_000));
    }
}
