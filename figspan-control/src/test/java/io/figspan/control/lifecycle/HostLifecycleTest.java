package io.figspan.control.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HostLifecycleTest {
    private final HostLifecycle lifecycle = new HostLifecycle(1_000, 61_000);

    /** Guards against a shutdown that refuses callers with a cached entry list or aborts their requests. */
    @Test
    void aHostAcceptsWorkUntilAllCachedEntryListsExpireAndThenFinishesWhatIsInFlight() {
        lifecycle.onSettingsReady();
        assertTrue(lifecycle.isListed());
        lifecycle.onShutdown(5, ms(0));
        assertFalse(lifecycle.isListed());
        assertTrue(lifecycle.takesNewWork());
        tickUntil(5_900);
        assertEquals(HostState.UNLISTED, lifecycle.onTick(0, ms(5_999)));
        assertEquals(HostState.DRAINING, lifecycle.onTick(3, ms(6_000)));
        assertFalse(lifecycle.takesNewWork());
        assertEquals(HostState.DRAINING, lifecycle.onTick(1, ms(59_999)));
        assertEquals(HostState.STOPPED, lifecycle.onTick(0, ms(59_999)));
    }

    @Test
    void aSecondShutdownDoesNotRestartTheWait() {
        lifecycle.onSettingsReady();
        lifecycle.onShutdown(5, ms(0));
        tickUntil(5_000);
        lifecycle.onShutdown(5, ms(5_000));
        tickUntil(5_900);
        assertEquals(HostState.STOPPED, lifecycle.onTick(0, ms(6_000)));
    }

    /** Guards against refusing connections that queued up while the process was paused. */
    @Test
    void connectionsQueuedDuringAPauseAreStillAccepted() {
        lifecycle.onSettingsReady();
        lifecycle.onShutdown(5, ms(0));
        assertEquals(HostState.UNLISTED, lifecycle.onTick(0, ms(9_000)));
        tickUntil(9_900);
        assertTrue(lifecycle.takesNewWork());
        assertEquals(HostState.STOPPED, lifecycle.onTick(0, ms(10_000)));
    }

    /** Guards against a process that still takes requests, or still runs, when its process manager kills it. */
    @Test
    void aHostStopsBeforeTheKillAlsoWhileCallersUseCachedEntryLists() {
        HostLifecycle stopping = new HostLifecycle(1_000, 8_000);
        stopping.onSettingsReady();
        stopping.onShutdown(3_600, ms(0));
        stopping.onTick(3, ms(6_600));
        assertTrue(stopping.takesNewWork());
        stopping.onTick(3, ms(7_500));
        assertFalse(stopping.takesNewWork());
        assertEquals(HostState.STOPPED, stopping.onTick(3, ms(7_700)));
    }

    /** Guards against a stopping host that takes a request which can't end before the kill. */
    @Test
    void aStoppingHostAcceptsWhatEndsBeforeTheLastAnswers() {
        HostLifecycle stopping = new HostLifecycle(1_000, 30_000);
        stopping.onSettingsReady();
        assertTrue(stopping.endsInTime(3_600_000, 0, ms(0)));
        stopping.onShutdown(3_600, ms(0));
        assertTrue(stopping.endsInTime(24_000, 0, ms(1_000)));
        assertFalse(stopping.endsInTime(29_500, 0, ms(1_000)));
        assertFalse(stopping.endsInTime(24_000, 0, ms(6_000)));
        stopping.onTick(0, ms(29_900));
        assertFalse(stopping.endsInTime(0, 0, ms(29_900)));
    }

    private void tickUntil(long untilMs) {
        for (long nowMs = Math.max(0, untilMs - 900); nowMs <= untilMs; nowMs += 100) {
            lifecycle.onTick(0, ms(nowMs));
        }
    }

    private static long ms(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}
