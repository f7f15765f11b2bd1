package io.figspan.gateway.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AdaptiveConnectTimeoutTest {
    private final AdaptiveConnectTimeout timeout = new AdaptiveConnectTimeout();

    private void connectedAfterMs(long ms) {
        timeout.recordConnect(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    @Test
    void aZoneThatWasNeverReachedHasTheMaximumTimeout() {
        assertEquals(AdaptiveConnectTimeout.MAX_TIMEOUT_MS, timeout.timeoutMs());
    }

    @Test
    void aNearZoneHasTheMinimumTimeout() {
        connectedAfterMs(2);
        assertEquals(AdaptiveConnectTimeout.MIN_TIMEOUT_MS, timeout.timeoutMs());
    }

    @Test
    void theTimeoutOfAFarZoneIsAMultipleOfItsFastestConnect() {
        connectedAfterMs(90);
        connectedAfterMs(50);
        connectedAfterMs(70);
        assertEquals(50 * AdaptiveConnectTimeout.TIMEOUT_FACTOR, timeout.timeoutMs());
    }

    @Test
    void noZoneExceedsTheMaximumTimeout() {
        connectedAfterMs(500);
        assertEquals(AdaptiveConnectTimeout.MAX_TIMEOUT_MS, timeout.timeoutMs());
    }
}
