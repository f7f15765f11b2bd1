package io.figspan.control.hold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.time.Deadline;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class GroupReservationTest {
    private static final HostIncarnation SELF = new HostIncarnation(HostId.of("h1"), 7);
    private static final HostIncarnation EARLIER = new HostIncarnation(HostId.of("h1"), 6);
    private static final HostIncarnation OTHER = new HostIncarnation(HostId.of("h2"), 1);
    private static final Deadline DEADLINE = new Deadline(ms(10_000));
    private static final long RESERVE_TIMEOUT_MS = 100;

    private final HoldLedger ledger = new HoldLedger(SELF, HoldLedgerConfig.DEFAULT);

    @Test
    void reserveCallsAreSentOneAtATimeInAscendingOrder() {
        GroupReservation group = group("e3", "e1", "e2");
        assertEquals("e1", only(group.start(0)).engine().server().value());
        assertEquals(
                "e2", only(group.onReserved(handle(0), ms(1))).engine().server().value());
        assertEquals(
                "e3", only(group.onReserved(handle(1), ms(2))).engine().server().value());
        assertTrue(group.onReserved(handle(2), ms(3)).isEmpty());
        assertEquals(GroupReservation.Status.ACQUIRED, group.status());
    }

    /** Guards against a partly reserved group that keeps memory for a prompt that cannot run. */
    @Test
    void aRefusalReleasesTheHoldsAcquiredSoFar() {
        GroupReservation group = group("e1", "e2");
        group.start(0);
        group.onReserved(handle(0), ms(1));
        HoldAction release = only(group.onRefused(handle(1), ms(2)));
        assertEquals(new HoldAction.Release(engine("e1"), handle(0)), release);
        assertEquals(GroupReservation.Status.FAILED, group.status());
        ledger.onReleaseAnswered(handle(0), true);
        assertEquals(0, ledger.size());
    }

    /** Guards against a leaked hold when a reserve call times out at the host and later succeeds on the engine. */
    @Test
    void aTimedOutReserveCallIsReleasedAgainAfterItsLateSuccess() {
        GroupReservation group = group("e1", "e2");
        group.start(0);
        assertEquals(new HoldAction.Release(engine("e1"), handle(0)), only(group.onTick(ms(RESERVE_TIMEOUT_MS))));
        ledger.onReleaseAnswered(handle(0), false);
        assertEquals(Optional.of(HoldState.RELEASING_UNANSWERED), ledger.state(handle(0)));
        assertFalse(ledger.onTick(ms(RESERVE_TIMEOUT_MS + HoldLedgerConfig.DEFAULT.releaseRetryMs()))
                .isEmpty());
        assertEquals(new HoldAction.Release(engine("e1"), handle(0)), only(group.onReserved(handle(0), ms(1_000))));
        ledger.onReleaseAnswered(handle(0), true);
        assertEquals(0, ledger.size());
    }

    @Test
    void anUnconfirmedReleaseIsRetriedUntilTheHoldExpires() {
        HoldHandle handle = ledger.reserve(engine("e1"), 1_000, DEADLINE, 0)
                .orThrow(Location.of("test"))
                .handle();
        ledger.onReserved(handle, ms(1));
        ledger.release(handle, ms(2));
        int retries = 0;
        for (long nowMs = 3; nowMs < 15_000; nowMs += 50) {
            retries += ledger.onTick(ms(nowMs)).size();
        }
        assertTrue(retries >= 6, "repeats: " + retries);
        assertEquals(1, ledger.onTick(ms(15_000)).size());
        assertEquals(0, ledger.size());
    }

    /** Guards against leaked holds of ended or replaced owners, and against the release of a hold in use. */
    @Test
    void aSweepReleasesExpiredReplacedAndUnknownHoldsOnly() {
        ledger.reserve(engine("e1"), 1_000, DEADLINE, 0);
        List<ListedHold> listed = List.of(
                new ListedHold(handle(0), 1_000, 9_000),
                new ListedHold(handle(44), 1_000, 9_000),
                new ListedHold(new HoldHandle(EARLIER, 3), 1_000, 9_000),
                new ListedHold(new HoldHandle(OTHER, 5), 1_000, 9_000),
                new ListedHold(new HoldHandle(OTHER, 6), 1_000, 0));
        List<HoldHandle> released = ledger.sweep(engine("e1"), listed, Map.of(OTHER.host(), OTHER)).stream()
                .map(HoldAction::handle)
                .toList();
        assertEquals(List.of(handle(44), new HoldHandle(EARLIER, 3), new HoldHandle(OTHER, 6)), released);
    }

    @Test
    void holdsOfAnEngineThatEndedAreRemoved() {
        GroupReservation group = group("e1", "e2");
        group.start(0);
        group.onReserved(handle(0), ms(1));
        ledger.onEngineGone(engine("e1"));
        assertEquals(Optional.empty(), ledger.state(handle(0)));
        assertEquals(1, ledger.size());
    }

    @Test
    void aGroupAcrossAvailabilityZonesIsRefused() {
        List<GroupMember> members = List.of(member("e1", "a"), member("e2", "b"));
        assertThrows(FigspanException.class, () -> new GroupReservation(ledger, members, DEADLINE, RESERVE_TIMEOUT_MS));
    }

    private GroupReservation group(String... engines) {
        List<GroupMember> members =
                java.util.Arrays.stream(engines).map(e -> member(e, "a")).toList();
        return new GroupReservation(ledger, members, DEADLINE, RESERVE_TIMEOUT_MS);
    }

    private static GroupMember member(String engine, String zone) {
        return new GroupMember(engine(engine), AvailabilityZoneId.of(zone), 1_000);
    }

    private static BackendIncarnation engine(String id) {
        return new BackendIncarnation(BackendServerId.of(id), 1);
    }

    private static HoldHandle handle(long sequence) {
        return new HoldHandle(SELF, sequence);
    }

    private static HoldAction only(List<HoldAction> actions) {
        assertEquals(1, actions.size(), actions.toString());
        return actions.get(0);
    }

    private static long ms(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }
}
