package io.figspan.core.time;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

class HybridClockProperties {
    /** Guards against a timeline that shows an effect before its cause because a wall clock lags or is set back. */
    @Property(tries = 200, seed = "1")
    void receiptIsAlwaysLaterThanMessage(
            @ForAll @Size(min = 1, max = 30) List<@LongRange(min = 0, max = 5_000) Long> receiverWallClockMs) {
        AtomicLong wallMs = new AtomicLong();
        HybridClock sender = new HybridClock(() -> 10_000);
        HybridClock receiver = new HybridClock(wallMs::get);
        for (long nextWallMs : receiverWallClockMs) {
            wallMs.set(nextWallMs);
            HybridTimestamp sent = sender.tick();
            HybridTimestamp received = receiver.observe(sent);
            assertTrue(received.compareTo(sent) > 0);
            assertTrue(receiver.tick().compareTo(received) > 0);
        }
    }
}
