package io.figspan.policy.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PlacementRetryIntervalTest {
    @Test
    void shortPromptsAreRetriedWithin50Ms() {
        assertTrue(PlacementRetryInterval.nanos(10) <= TimeUnit.MILLISECONDS.toNanos(50));
    }

    @Test
    void longPromptsAreRetriedAfterAFractionOfTheirPrefillTime() {
        assertEquals(TimeUnit.MILLISECONDS.toNanos(100), PlacementRetryInterval.nanos(1_000));
    }

    @Test
    void theLongestPromptsAreRetriedSeveralTimesASecond() {
        assertTrue(PlacementRetryInterval.nanos(1e9) <= TimeUnit.MILLISECONDS.toNanos(250));
    }
}
