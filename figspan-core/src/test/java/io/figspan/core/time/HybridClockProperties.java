package io.figspan.core.time;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

class HybridClockProperties {
    /** Guards against an effect that is shown before its cause when one wall clock lags or steps back. */
    @Property(tries = 200, seed = "1")
    void aReceivedMessageIsAlwaysBeforeItsReceipt(
            @ForAll @Size(min = 1, max = 30) List<@LongRange(min = 0, max = 5_000) Long> wallClockSteps) {
        AtomicLong wallMs = new AtomicLong();
        HybridClock sender = new HybridClock(() -> 10_000);
        HybridClock receiver = new HybridClock(wallMs::get);
        for (long step : wallClockSteps) {
            wallMs.set(step);
            HybridTimestamp sent = sender.tick();
            HybridTimestamp received = receiver.observe(sent);
            assertTrue(received.compareTo(sent) > 0);
            assertTrue(receiver.tick().compareTo(received) > 0);
        }
    }
}
