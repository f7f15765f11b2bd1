package io.figspan.gateway.caller;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.settings.gateway.CallerLimits;
import org.junit.jupiter.api.Test;

class BodyReadTimeoutTest {
    private static final CallerLimits LIMITS = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

    @Test
    void aTricklingBodyExceedsIt() {
        assertTrue(BodyReadTimeout.isExceeded(20_000, 40, LIMITS));
    }

    @Test
    void aSlowButSteadyBodyDoesNotExceedIt() {
        assertFalse(BodyReadTimeout.isExceeded(600_000, 1_200_000, LIMITS));
    }

    @Test
    void aBodyThatHasJustStartedDoesNotExceedIt() {
        assertFalse(BodyReadTimeout.isExceeded(10_000, 0, LIMITS));
    }
}
