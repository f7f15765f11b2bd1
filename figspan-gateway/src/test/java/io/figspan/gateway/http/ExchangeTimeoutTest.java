package io.figspan.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ExchangeTimeoutTest {
    private static final ExchangeTimeout TIMEOUT = new ExchangeTimeout(3_000, 1_000, 7_000);
    private static final OptionalLong NO_BYTE = OptionalLong.empty();

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private static OptionalLong byteAt(long ms) {
        return OptionalLong.of(ms(ms));
    }

    /** Guards against giving up a large response over a slow link that makes progress. */
    @Test
    void aResponseThatMakesProgressIsGivenUpAfterTheTotalOnly() {
        assertEquals(ms(1_000), TIMEOUT.remainingNanos(0, byteAt(4_500), ms(4_500)));
        assertEquals(ms(100), TIMEOUT.remainingNanos(0, byteAt(6_900), ms(6_900)));
        assertEquals("no complete response within 7000 ms", TIMEOUT.reason(0, byteAt(6_999), ms(7_000)));
    }

    @Test
    void aServerThatDoesNotBeginToRespondIsGivenUpAfterTheFirstByteTimeout() {
        assertEquals(ms(1), TIMEOUT.remainingNanos(0, NO_BYTE, ms(2_999)));
        assertEquals("no response within 3000 ms", TIMEOUT.reason(0, NO_BYTE, ms(3_000)));
    }

    /** Guards against waiting for the rest of a response as long as for its first byte. */
    @Test
    void aServerThatStopsSendingIsGivenUpAfterTheStallTimeout() {
        assertEquals(0, TIMEOUT.remainingNanos(0, byteAt(500), ms(1_500)));
        assertEquals("no byte for 1000 ms", TIMEOUT.reason(0, byteAt(500), ms(1_500)));
    }

    @Test
    void timeoutsAboveTheTotalAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new ExchangeTimeout(1, 2, 1));
        assertThrows(IllegalArgumentException.class, () -> new ExchangeTimeout(2, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new ExchangeTimeout(0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new ExchangeTimeout(1, 0, 1));
    }
}
