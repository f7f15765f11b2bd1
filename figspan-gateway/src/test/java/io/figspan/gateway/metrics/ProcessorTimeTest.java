package io.figspan.gateway.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ProcessorTimeTest {
    private long nowNanos;

    private final ProcessorTime time = new ProcessorTime(() -> nowNanos);

    private void advanceMs(long ms) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void timeCountsForTheInnermostActivity() {
        time.measure(Activity.TIMERS, () -> {
            advanceMs(10);
            time.measure(Activity.PLACEMENT, () -> advanceMs(30));
            advanceMs(5);
        });
        advanceMs(2);
        time.measure(Activity.PEER_RECEIVE, () -> advanceMs(1));

        assertEquals(15, time.spentMs(Activity.TIMERS));
        assertEquals(30, time.spentMs(Activity.PLACEMENT));
        assertEquals(1, time.spentMs(Activity.PEER_RECEIVE));
        assertEquals(2, time.spentMs(Activity.FORWARDING));
    }

    @Test
    void theClockNeedNotStartAtZero() {
        advanceMs(1_000_000);
        time.measure(Activity.TIMERS, () -> advanceMs(1));

        assertEquals(0, time.spentMs(Activity.FORWARDING));
        assertEquals(1, time.spentMs(Activity.TIMERS));
    }

    @Test
    void anExceptionEndsItsActivity() {
        assertThrows(
                IllegalStateException.class,
                () -> time.measure(Activity.PLACEMENT, () -> {
                    advanceMs(3);
                    throw new IllegalStateException("a fault");
                }));
        advanceMs(4);
        time.measure(Activity.TIMERS, () -> advanceMs(1));

        assertEquals(3, time.spentMs(Activity.PLACEMENT));
        assertEquals(4, time.spentMs(Activity.FORWARDING));
    }
}
