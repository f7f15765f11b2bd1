package io.figspan.gateway.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.gateway.caller.ReceiveTimeouts.Timeout;
import io.figspan.settings.gateway.CallerLimits;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against connections that are closed as idle, without a response, while a request is arriving. */
class ReceiveTimeoutsTest {
    private static final int BODY_BYTES = 100_000;

    private static ReceiveTimeouts timeouts(long headerTimeoutMs, long idleTimeoutMs) {
        return new ReceiveTimeouts(new CallerLimits(16_384, 4_194_304, headerTimeoutMs, idleTimeoutMs), 0);
    }

    private static long afterMs(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void aConnectionWhoseHeadIsArrivingIsNotIdle() {
        ReceiveTimeouts timeouts = timeouts(3_000, 1_000);
        timeouts.bytesReceived(afterMs(10));

        assertEquals(Optional.empty(), timeouts.exceeded(0, afterMs(2_000)));
        assertEquals(Optional.of(Timeout.HEADERS), timeouts.exceeded(0, afterMs(3_100)));
    }

    @Test
    void aConnectionWhoseBodyHasStoppedArrivingIsRefusedInsteadOfClosedAsIdle() {
        ReceiveTimeouts timeouts = timeouts(3_000, 15_000);
        timeouts.bytesReceived(afterMs(10));
        timeouts.headReceived(afterMs(10));
        timeouts.bytesReceived(afterMs(20));

        assertEquals(Optional.empty(), timeouts.exceeded(BODY_BYTES, afterMs(15_000)));
        assertEquals(Optional.of(Timeout.BODY), timeouts.exceeded(BODY_BYTES, afterMs(15_100)));
    }

    @Test
    void aConnectionWithoutARequestIsIdle() {
        ReceiveTimeouts timeouts = timeouts(3_000, 15_000);
        timeouts.bytesReceived(afterMs(10));
        timeouts.headReceived(afterMs(10));
        timeouts.responseWritten(afterMs(50));

        assertEquals(Optional.empty(), timeouts.exceeded(0, afterMs(15_000)));
        assertEquals(Optional.of(Timeout.IDLE), timeouts.exceeded(0, afterMs(15_100)));
    }
}
