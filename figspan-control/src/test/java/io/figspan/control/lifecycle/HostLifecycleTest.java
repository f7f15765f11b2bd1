package io.figspan.control.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HostLifecycleTest {
    private final HostLifecycle lifecycle = new HostLifecycle(1_000, 60_000);

    /** Guards against a shutdown that turns away callers with an older entry list or cuts off their requests. */
    @Test
    void aHostServesUntilAllEntryListsRanOutAndThenFinishesWhatIsInFlight() {
        lifecycle.onSettingsReady();
        assertTrue(lifecycle.isListed());
        lifecycle.onShutdown(5, ms(0));
        assertFalse(lifecycle.isListed());
        assertTrue(lifecycle.takesNewWork());
        assertEquals(HostState.UNLISTED, lifecycle.onTick(0, ms(5_999)));
        assertEquals(HostState.DRAINING, lifecycle.onTick(3, ms(6_000)));
        assertFalse(lifecycle.takesNewWork());
        assertEquals(HostState.DRAINING, lifecycle.onTick(1, ms(59_999)));
        assertEquals(HostState.STOPPED, lifecycle.onTick(0, ms(59_999)));
    }

    @Test
    void aSecondShutdownDoesNotStartTheWaitAgain() {
        lifecycle.onSettingsReady();
        lifecycle.onShutdown(5, ms(0));
        lifecycle.onShutdown(5, ms(5_000));
        assertEquals(HostState.STOPPED, lifecycle.onTick(0, ms(6_000)));
    }

    private static long ms(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}
