package io.figspan.gateway.store;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against cells in which nobody, or everybody, follows the store. */
class StoreWatchPolicyTest {
    private static final int CELL = 12;

    private final StoreWatchPolicy duty = new StoreWatchPolicy();
    private long nowNanos = TimeUnit.SECONDS.toNanos(50);

    private boolean shouldWatch(int rank, Long... sourceAgesMs) {
        return duty.shouldWatch(rank, CELL, List.of(sourceAgesMs), nowNanos);
    }

    @Test
    void theFirstHostsOfACellFollowTheStoreWhateverOthersTell() {
        for (int rank = 0; rank < StoreWatchPolicy.FOLLOWERS; rank++) {
            assertTrue(shouldWatch(rank, 5L, 5L));
        }
    }

    @Test
    void allHostsOfASmallCellFollowTheStore() {
        assertTrue(duty.shouldWatch(7, StoreWatchPolicy.MIN_SHARED_CELL - 1, List.of(5L), nowNanos));
    }

    @Test
    void theOthersRelyOnAHostThatIsInTouchWithTheStore() {
        assertFalse(shouldWatch(5, 5L));
        assertFalse(shouldWatch(5, 9_000L, 100L));
    }

    @Test
    void aHostThatIsToldByNobodyFollowsTheStore() {
        assertTrue(shouldWatch(5));
        assertTrue(shouldWatch(6, StoreWatchPolicy.MAX_SOURCE_AGE_MS + 1));
    }

    @Test
    void aHostThatTookOverKeepsOnForAWhile() {
        assertTrue(shouldWatch(5));
        nowNanos += StoreWatchPolicy.KEEP_NANOS - 1;
        assertTrue(shouldWatch(5, 5L));
        nowNanos += 1;
        assertFalse(shouldWatch(5, 5L));
    }
}
