package io.figspan.policy.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LookIntervalTest {
    @Test
    void aShortPromptIsLookedAtSoon() {
        assertTrue(LookInterval.nanos(10) <= TimeUnit.MILLISECONDS.toNanos(50));
    }

    @Test
    void aLongPromptIsLookedAtSeldomerButNotMuchLaterThanItsReadingTakes() {
        assertEquals(TimeUnit.MILLISECONDS.toNanos(100), LookInterval.nanos(1_000));
    }

    @Test
    void theLongestPromptsAreLookedAtSeveralTimesASecond() {
        assertTrue(LookInterval.nanos(1e9) <= TimeUnit.MILLISECONDS.toNanos(250));
    }
}
