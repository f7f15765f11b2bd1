package io.figspan.gateway.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ProcessorTimeTest {
    private long nowNanos;

    private final ProcessorTime time = new ProcessorTime(() -> nowNanos);

    private void work(long ms) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void timeCountsForTheInnermostActivity() {
        time.measure(Activity.TIMERS, () -> {
            work(10);
            time.measure(Activity.PLACEMENT, () -> work(30));
            work(5);
        });
        work(2);
        time.measure(Activity.PEER_RECEIVE, () -> work(1));

        assertEquals(15, time.spentMs(Activity.TIMERS));
        assertEquals(30, time.spentMs(Activity.PLACEMENT));
        assertEquals(1, time.spentMs(Activity.PEER_RECEIVE));
        assertEquals(2, time.spentMs(Activity.FORWARDING));
    }

    @Test
    void theClockNeedNotBeginAtZero() {
        work(1_000_000);
        time.measure(Activity.TIMERS, () -> work(1));

        assertEquals(0, time.spentMs(Activity.FORWARDING));
        assertEquals(1, time.spentMs(Activity.TIMERS));
    }

    @Test
    void anErrorEndsItsActivity() {
        assertThrows(
                IllegalStateException.class,
                () -> time.measure(Activity.PLACEMENT, () -> {
                    work(3);
                    throw new IllegalStateException("a fault");
                }));
        work(4);
        time.measure(Activity.TIMERS, () -> work(1));

        assertEquals(3, time.spentMs(Activity.PLACEMENT));
        assertEquals(4, time.spentMs(Activity.FORWARDING));
    }
}
