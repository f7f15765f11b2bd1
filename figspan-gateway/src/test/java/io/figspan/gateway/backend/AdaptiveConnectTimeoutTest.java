package io.figspan.gateway.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AdaptiveConnectTimeoutTest {
    private final AdaptiveConnectTimeout times = new AdaptiveConnectTimeout();

    private void connectedAfterMs(long ms) {
        times.connected(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    @Test
    void aZoneThatWasNeverReachedIsGivenTheMost() {
        assertEquals(AdaptiveConnectTimeout.FIRST_TIMEOUT_MS, times.timeoutMs());
    }

    @Test
    void aNearZoneIsGivenTheLeast() {
        connectedAfterMs(2);
        assertEquals(AdaptiveConnectTimeout.LEAST_TIMEOUT_MS, times.timeoutMs());
    }

    @Test
    void aFarZoneIsGivenInProportionToItsFastestConnect() {
        connectedAfterMs(90);
        connectedAfterMs(50);
        connectedAfterMs(70);
        assertEquals(50 * AdaptiveConnectTimeout.TIMEOUT_FACTOR, times.timeoutMs());
    }

    @Test
    void noZoneIsGivenMoreThanTheMost() {
        connectedAfterMs(500);
        assertEquals(AdaptiveConnectTimeout.FIRST_TIMEOUT_MS, times.timeoutMs());
    }
}
