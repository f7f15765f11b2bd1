package io.figspan.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ExchangeTimeoutTest {
    private static final ExchangeTimeout TIMEOUT = new ExchangeTimeout(1_000, 4_000);

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Guards against giving up a large response over a slow link that makes progress. */
    @Test
    void aResponseThatMakesProgressIsGivenUpAfterTheTotalOnly() {
        assertEquals(ms(1_000), TIMEOUT.remainingNanos(0, ms(1_500), ms(1_500)));
        assertEquals(ms(100), TIMEOUT.remainingNanos(0, ms(3_900), ms(3_900)));
        assertEquals("no response within 4000 ms", TIMEOUT.reason(0, ms(4_000)));
    }

    @Test
    void aServerThatSendsNothingIsGivenUpAfterTheStallTimeout() {
        assertTrue(TIMEOUT.remainingNanos(0, 0, ms(1_000)) <= 0);
        assertEquals("no byte for 1000 ms", TIMEOUT.reason(0, ms(1_000)));
    }

    @Test
    void aStallTimeoutAboveTheTotalIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new ExchangeTimeout(2, 1));
        assertThrows(IllegalArgumentException.class, () -> new ExchangeTimeout(0, 1));
    }
}
