package io.figspan.policy.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.StoreRevision;
import io.figspan.policy.evacuation.ZoneChange.Kind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against zones that get requests although the operator has evacuated them, or none although he has not. */
class ZoneEvacuationsTest {
    private static final AvailabilityZoneId A = AvailabilityZoneId.of("a");
    private static final AvailabilityZoneId B = AvailabilityZoneId.of("b");
    private static final StoreRevision OLD = new StoreRevision(1, 90);
    private static final StoreRevision RESTORED = new StoreRevision(2, 40);

    private final ZoneEvacuations evacuations = new ZoneEvacuations();
    private long nowNanos = TimeUnit.SECONDS.toNanos(100);

    private List<ZoneChange> items(StoreRevision revision, AvailabilityZoneId... zones) {
        Map<AvailabilityZoneId, StoreRevision> items = new HashMap<>();
        for (AvailabilityZoneId zone : zones) {
            items.put(zone, revision);
        }
        return evacuations.update(items, revision, nowNanos);
    }

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    private List<ZoneChange> afterMs(long ms) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(ms);
        return evacuations.takeDue(nowNanos);
    }

    private static List<ZoneChange> change(Kind kind, AvailabilityZoneId zone, StoreRevision revision) {
        return List.of(new ZoneChange(kind, zone, revision));
    }

    @Test
    void anItemEvacuatesItsZoneUntilItIsRemoved() {
        assertEquals(change(Kind.EVACUATED, A, at(5)), items(at(5), A));
        assertTrue(evacuations.isEvacuated(A));
        assertFalse(evacuations.isEvacuated(B));

        assertEquals(change(Kind.RESTORED, A, at(6)), items(at(6)));
        assertFalse(evacuations.isEvacuated(A));
    }

    /** Guards against a log line and a placement of all queued requests for each version of the settings. */
    @Test
    void anItemThatIsStillThereIsNoChange() {
        items(at(5), A);

        assertEquals(List.of(), items(at(6), A));
        assertEquals(List.of(), afterMs(60_000));
    }

    @Test
    void aSecondEvacuationLeavesTheFirstOneInForce() {
        items(at(5), A);
        items(at(6), A, B);
        assertTrue(evacuations.isEvacuated(A) && evacuations.isEvacuated(B));

        items(at(7), B);
        assertFalse(evacuations.isEvacuated(A));
        assertTrue(evacuations.isEvacuated(B));
    }

    @Test
    void anItemThatAnOlderCopyLacksEndsTheEvacuationOnlyAfterTheDelay() {
        items(OLD, A);

        assertEquals(change(Kind.REMOVAL_DEFERRED, A, RESTORED), items(RESTORED));
        assertEquals(List.of(), afterMs(9_999));
        assertTrue(evacuations.isEvacuated(A));
        assertEquals(change(Kind.RESTORED, A, RESTORED), afterMs(1));
        assertFalse(evacuations.isEvacuated(A));
    }

    @Test
    void anItemThatIsWrittenAgainWithinTheDelayKeepsTheEvacuation() {
        items(OLD, A);
        items(RESTORED);
        afterMs(9_000);

        assertEquals(List.of(), items(new StoreRevision(2, 41), A));
        assertEquals(List.of(), afterMs(60_000));
        assertTrue(evacuations.isEvacuated(A));
    }

    /** Guards against a removal that other changes, or another restored copy, put off again and again. */
    @Test
    void laterChangesDoNotExtendTheDelay() {
        items(OLD, A);
        items(RESTORED);
        afterMs(6_000);
        items(new StoreRevision(2, 41));
        items(new StoreRevision(3, 1));

        assertEquals(1, afterMs(4_000).size());
    }

    @Test
    void anItemThatReappearsInAnOlderCopyTakesEffect() {
        items(at(5), A);
        items(at(6));

        assertEquals(change(Kind.EVACUATED, A, RESTORED), items(RESTORED, A));
    }

    /** Guards against a removal by the operator that counts as missing from the copy that the store returned from. */
    @Test
    void anItemThatTheCopyHasIsRemovedAtOnceLater() {
        items(OLD, A);
        items(RESTORED, A);

        assertEquals(Kind.RESTORED, items(new StoreRevision(2, 50)).get(0).kind());
    }

    @Test
    void anItemBeyondTheBoundIsRejectedOnceAndTakenWhenThereIsRoom() {
        Map<AvailabilityZoneId, StoreRevision> items = new HashMap<>();
        for (int number = 0; number < ZoneEvacuations.MAX_ZONES; number++) {
            items.put(AvailabilityZoneId.of("zone-" + number), at(5));
        }
        assertEquals(
                ZoneEvacuations.MAX_ZONES,
                evacuations.update(items, at(5), nowNanos).size());

        items.put(A, at(6));
        assertEquals(change(Kind.REJECTED, A, at(6)), evacuations.update(items, at(6), nowNanos));
        assertEquals(List.of(), evacuations.update(items, at(7), nowNanos));

        items.remove(AvailabilityZoneId.of("zone-1"));
        evacuations.update(items, at(8), nowNanos);
        assertTrue(evacuations.isEvacuated(A));
    }
}
