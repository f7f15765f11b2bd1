package io.figspan.gateway.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against cells in which no host, or every host, watches the store. */
class StoreWatchPolicyTest {
    private static final int CELL_SIZE = 12;

    private final StoreWatchPolicy policy = new StoreWatchPolicy();
    private long nowNanos = TimeUnit.SECONDS.toNanos(50);

    private boolean shouldWatch(int rank, Long... sourceAgesMs) {
        return policy.shouldWatch(rank, CELL_SIZE, List.of(sourceAgesMs), nowNanos);
    }

    @Test
    void theFirstHostsOfACellAlwaysWatchTheStore() {
        for (int rank = 0; rank < StoreWatchPolicy.ALWAYS_WATCHING; rank++) {
            assertTrue(shouldWatch(rank, 5L, 5L));
        }
    }

    @Test
    void allHostsOfASmallCellWatchTheStore() {
        assertTrue(policy.shouldWatch(7, StoreWatchPolicy.MIN_SHARED_CELL_SIZE - 1, List.of(5L), nowNanos));
    }

    @Test
    void theOthersRelyOnAHostThatReachesTheStore() {
        assertFalse(shouldWatch(5, 5L));
        assertFalse(shouldWatch(5, 9_000L, 100L));
    }

    @Test
    void aHostWithoutASourceWatchesTheStore() {
        assertTrue(shouldWatch(5));
        assertTrue(shouldWatch(6, StoreWatchPolicy.MAX_SOURCE_AGE_MS + 1));
    }

    @Test
    void aHostThatTookOverKeepsWatchingForAWhile() {
        assertTrue(shouldWatch(5));
        nowNanos += StoreWatchPolicy.TAKEOVER_NANOS - 1;
        assertTrue(shouldWatch(5, 5L));
        nowNanos += 1;
        assertFalse(shouldWatch(5, 5L));
    }

    /** Guards against needless calls to the store. */
    @Test
    void onlyHostsOnWhichOthersRelyWatchWithShortWaits() {
        assertEquals(StoreWatchPolicy.SHARED_WATCH_WAIT_MS, policy.watchWaitMs(2, CELL_SIZE));
        assertEquals(PrefixWatcher.WATCH_WAIT_MS, policy.watchWaitMs(3, CELL_SIZE));
        assertEquals(PrefixWatcher.WATCH_WAIT_MS, policy.watchWaitMs(0, StoreWatchPolicy.MIN_SHARED_CELL_SIZE - 1));
    }
}
