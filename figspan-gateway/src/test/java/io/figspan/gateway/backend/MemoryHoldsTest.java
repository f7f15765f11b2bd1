package io.figspan.gateway.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.ServiceId;
import io.figspan.core.time.Deadline;
import io.figspan.gateway.backend.MemoryHolds.HoldRequest;
import io.figspan.gateway.backend.SimulatedEngines.Behaviour;
import io.figspan.gateway.backend.SimulatedEngines.RequestKind;
import io.figspan.gateway.log.DecisionLog;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against memory that stays held for an engine that can no longer use it, because it is dead or because another
 * engine has dropped a hold of the same group.
 */
class MemoryHoldsTest {
    private static final long TICK_MS = 20;
    private static final long DEADLINE_MS = 15_000;
    private static final long TOKENS = 1_000;
    private static final BackendServerId HOLDER = BackendServerId.of("holder");
    private static final BackendServerId OTHER_HOLDER = BackendServerId.of("other-holder");
    private static final BackendServerId USER = BackendServerId.of("user");

    private final SimulatedEngines engines = new SimulatedEngines();
    private final MemoryHolds holds =
            new MemoryHolds(engines, new DecisionLog(), new HostIncarnation(HostId.of("host"), 1), engines);
    private final List<HoldGroup> reserved = new ArrayList<>();
    private final List<HoldGroup> lost = new ArrayList<>();

    @BeforeEach
    void addEngines() {
        Stream.of(HOLDER, OTHER_HOLDER, USER).forEach(engine -> engines.add(engine, Behaviour.ANSWER));
    }

    private Deadline deadline() {
        return Deadline.after(engines.nowNanos(), DEADLINE_MS);
    }

    private void reserve(BackendServerId... holders) {
        reserve(group -> {}, holders);
    }

    /** Reserves holds; the listener is called after the group has been recorded. */
    private void reserve(Consumer<HoldGroup> listener, BackendServerId... holders) {
        List<HoldRequest> requests = Stream.of(holders)
                .map(holder -> new HoldRequest(holder, TOKENS))
                .toList();
        Consumer<HoldGroup> recorder = reserved::add;
        holds.reserve(requests, deadline(), recorder.andThen(listener));
    }

    private HoldGroup reserveComplete(BackendServerId... holders) {
        reserve(holders);
        runUntil(TICK_MS);
        assertEquals(1, reserved.size(), "calls of the listener");
        HoldGroup group = reserved.get(0);
        assertTrue(group.isComplete(), group.failure());
        return group;
    }

    private void use(HoldGroup group) {
        BackendServer user = new BackendServer(
                USER,
                ServiceId.of("engines"),
                InetSocketAddress.createUnresolved("user", 1),
                AvailabilityZoneId.of("zone"),
                4,
                false,
                0,
                1);
        holds.monitorUse(group, user, () -> {
            lost.add(group);
            holds.release(group);
        });
    }

    /** Runs until a time after the start of the test. */
    private void runUntil(long endMs) {
        long endNanos = TimeUnit.MILLISECONDS.toNanos(endMs);
        while (engines.nowNanos() < endNanos) {
            engines.advanceTo(engines.nowNanos() + TimeUnit.MILLISECONDS.toNanos(TICK_MS));
            holds.tick(engines.nowNanos());
            assertTrue(engines.heldCount() <= holds.openCount(), "an engine holds memory that is not tracked");
        }
    }

    private void runUntilJustBeforeTheDeadline() {
        runUntil(DEADLINE_MS - TICK_MS);
    }

    private void assertLostAndReleased(HoldGroup group) {
        assertEquals(List.of(group), lost);
        assertEquals(0, engines.heldCount(), "holds at the engines");
        assertEquals(0, holds.openCount(), "open holds");
    }

    @Test
    void anUnresponsiveEngineIsDetectedBeforeTheDeadline() {
        HoldGroup group = reserveComplete(HOLDER, OTHER_HOLDER);
        engines.setBehaviour(USER, Behaviour.NEVER_ANSWER);

        use(group);
        runUntilJustBeforeTheDeadline();

        assertLostAndReleased(group);
        assertEquals(1, engines.sentCount(HOLDER, RequestKind.RELEASE));
        assertEquals(1, engines.sentCount(OTHER_HOLDER, RequestKind.RELEASE));
    }

    @Test
    void theUseIsLostWhenOneEngineRefusesToRenewItsHold() {
        HoldGroup group = reserveComplete(HOLDER, OTHER_HOLDER);
        engines.setBehaviour(HOLDER, RequestKind.RESERVE, Behaviour.REFUSE);

        use(group);
        runUntilJustBeforeTheDeadline();

        assertLostAndReleased(group);
        assertEquals(1, engines.sentCount(OTHER_HOLDER, RequestKind.RELEASE));
    }

    /** Guards against prompts that end because an engine is too busy to renew a hold that it still has. */
    @ParameterizedTest
    @ValueSource(longs = {100, 400, 700, 1_000, 1_300})
    void theUseGoesOnWhenAnEngineRejectsRenewalsForAWhile(long rejectsFromMs) {
        HoldGroup group = reserveComplete(HOLDER, OTHER_HOLDER);
        use(group);

        runUntil(rejectsFromMs);
        engines.setBehaviour(HOLDER, RequestKind.RESERVE, Behaviour.REJECT_FOR_NOW);
        runUntil(rejectsFromMs + 1_700);
        engines.setBehaviour(HOLDER, RequestKind.RESERVE, Behaviour.ANSWER);
        for (long nowMs = rejectsFromMs + 1_700; nowMs < DEADLINE_MS - TICK_MS; nowMs += TICK_MS) {
            runUntil(nowMs);
            assertEquals(1, engines.heldCount(HOLDER), "holds after " + nowMs + " ms");
        }

        assertEquals(List.of(), lost);
        assertEquals(0, engines.sentCount(OTHER_HOLDER, RequestKind.RELEASE));
    }

    @Test
    void aGroupFailsWhenOneEngineRejectsItsReservationForNow() {
        engines.setBehaviour(OTHER_HOLDER, Behaviour.REJECT_FOR_NOW);

        reserve(HOLDER, OTHER_HOLDER);
        runUntil(TICK_MS);

        assertEquals("an engine accepts no reservations now", failedGroup().failure());
        assertEquals(1, holds.openCount(), "holds without the rejected one");
    }

    @Test
    void theHoldsOfALiveEngineAreKept() {
        HoldGroup group = reserveComplete(HOLDER, OTHER_HOLDER);

        use(group);
        runUntilJustBeforeTheDeadline();

        assertTrue(engines.sentCount(USER, RequestKind.PROBE) >= 3, "the engine was not checked");
        assertEquals(List.of(), lost);
        assertEquals(1, engines.heldCount(HOLDER));
        assertEquals(1, engines.heldCount(OTHER_HOLDER));
        assertEquals(0, engines.sentCount(HOLDER, RequestKind.RELEASE));
        assertEquals(0, engines.sentCount(OTHER_HOLDER, RequestKind.RELEASE));
    }

    /** Guards against a single lost packet ending a prompt. */
    @Test
    void theUseIsKeptWhenNoTwoConsecutiveChecksFail() {
        HoldGroup group = reserveComplete(HOLDER);

        use(group);
        for (int second = 1; second <= 10; second++) {
            boolean isEven = second % 2 == 0;
            engines.setBehaviour(USER, isEven ? Behaviour.ANSWER : Behaviour.NEVER_ANSWER);
            runUntil(TimeUnit.SECONDS.toMillis(second) + 500);
        }

        assertEquals(List.of(), lost);
        assertEquals(1, engines.heldCount(HOLDER));
    }

    /** Guards against prompts that end because their engine was silent for a while and would have gone on. */
    @ParameterizedTest
    @ValueSource(longs = {100, 250, 400, 550, 700, 850, 1_000, 1_150, 1_300})
    void theHoldsOfAnEngineThatIsSilentForTwoSecondsAreKept(long silentFromMs) {
        HoldGroup group = reserveComplete(HOLDER);
        use(group);

        isSilent(USER, silentFromMs, silentFromMs + 2_000);
        runUntilJustBeforeTheDeadline();

        assertEquals(List.of(), lost);
        assertEquals(1, engines.heldCount(HOLDER));
    }

    @ParameterizedTest
    @ValueSource(longs = {100, 250, 400, 550, 700, 850, 1_000, 1_150, 1_300})
    void theMemoryForADeadEngineIsReleasedWithinFourSeconds(long deadFromMs) {
        HoldGroup group = reserveComplete(HOLDER, OTHER_HOLDER);
        use(group);

        isSilent(USER, deadFromMs, deadFromMs + 4_000);

        assertLostAndReleased(group);
    }

    /** Guards against memory that an engine frees because it missed the renewals of a lease while it was silent. */
    @ParameterizedTest
    @ValueSource(longs = {100, 300, 500, 700, 900, 980, 1_000, 1_020, 1_100, 1_300})
    void theMemoryAtAnEngineThatIsSilentForAWhileStaysHeld(long silentFromMs) {
        HoldGroup group = reserveComplete(HOLDER);
        use(group);

        isSilent(HOLDER, silentFromMs, silentFromMs + 1_500);
        for (long nowMs = silentFromMs + 1_500; nowMs < DEADLINE_MS - TICK_MS; nowMs += TICK_MS) {
            runUntil(nowMs);
            assertEquals(1, engines.heldCount(HOLDER), "holds after " + nowMs + " ms");
        }

        assertEquals(List.of(), lost);
    }

    private void isSilent(BackendServerId engine, long fromMs, long untilMs) {
        runUntil(fromMs);
        engines.setBehaviour(engine, Behaviour.NEVER_ANSWER);
        runUntil(untilMs);
        engines.setBehaviour(engine, Behaviour.ANSWER);
    }

    @Test
    void aGroupFailsWhenOneEngineRefusesItsReservation() {
        engines.setBehaviour(OTHER_HOLDER, Behaviour.REFUSE);

        reserve(HOLDER, OTHER_HOLDER);
        runUntil(TICK_MS);

        assertEquals("an engine has too little free memory", failedGroup().failure());
        assertEquals(1, holds.openCount(), "holds without the refused one");
    }

    @Test
    void aGroupFailsWhenOneEngineDoesNotAnswerItsReservation() {
        engines.setBehaviour(OTHER_HOLDER, Behaviour.NEVER_ANSWER);

        reserve(HOLDER, OTHER_HOLDER);
        runUntilJustBeforeTheDeadline();

        assertTrue(
                failedGroup().failure().startsWith("no response"), failedGroup().failure());
    }

    @Test
    void aReleaseIsSentAtOnce() {
        HoldGroup group = reserveComplete(HOLDER, OTHER_HOLDER);

        holds.release(group);
        runUntil(2 * TICK_MS);

        assertEquals(0, engines.heldCount(), "holds at the engines");
        assertEquals(0, holds.openCount(), "open holds");
    }

    /** Guards against memory that stays held because the first release was lost. */
    @Test
    void aReleaseIsRepeatedUntilTheEngineAnswers() {
        HoldGroup group = reserveComplete(HOLDER);
        engines.setBehaviour(HOLDER, Behaviour.NEVER_ANSWER);

        holds.release(group);
        runUntil(1_000);
        assertEquals(1, holds.openCount());
        engines.setBehaviour(HOLDER, Behaviour.ANSWER);
        runUntilJustBeforeTheDeadline();

        assertEquals(0, engines.heldCount(HOLDER));
        assertEquals(0, holds.openCount());
    }

    @Test
    void theHoldOfAnEngineThatHasEndedIsNoLongerTracked() {
        reserveComplete(HOLDER, OTHER_HOLDER);

        engines.stop(HOLDER);
        runUntilJustBeforeTheDeadline();

        assertEquals(1, engines.heldCount(OTHER_HOLDER));
        assertEquals(1, holds.openCount());
    }

    /** Guards against holds that nobody releases because they are reserved after the group has failed. */
    @Test
    void aGroupWithAnUnregisteredEngineReservesNothingAfterItHasFailed() {
        engines.stop(HOLDER);

        reserve(group -> holds.release(group), HOLDER, OTHER_HOLDER);
        runUntilJustBeforeTheDeadline();

        assertEquals("the engine is no longer registered", failedGroup().failure());
        assertEquals(0, engines.heldCount(), "holds at the engines");
        assertEquals(0, holds.openCount(), "open holds");
    }

    /** Guards against requests for memory at an engine that is known to drain. */
    @Test
    void noHoldIsRequestedAtAnEngineThatDrains() {
        engines.drain(HOLDER);

        reserve(HOLDER, OTHER_HOLDER);
        runUntil(TICK_MS);

        assertEquals("the engine accepts no new requests", failedGroup().failure());
        assertEquals(0, engines.sentCount(HOLDER, RequestKind.RESERVE));
    }

    /** Guards against messages to an engine that wants none, and against taking its silence for its end. */
    @Test
    void anEngineThatAskedForAPauseIsNotProbedAndItsUseGoesOn() {
        HoldGroup group = reserveComplete(HOLDER);
        use(group);
        runUntil(100);
        engines.setPaused(USER, true);

        runUntil(9_000);

        assertEquals(0, engines.sentCount(USER, RequestKind.PROBE));
        assertEquals(List.of(), lost);
        engines.setPaused(USER, false);
        runUntilJustBeforeTheDeadline();
        assertTrue(engines.sentCount(USER, RequestKind.PROBE) > 0);
    }

    @Test
    void aReleaseThatAPauseKeepsBackIsSentAfterIt() {
        HoldGroup group = reserveComplete(HOLDER);
        engines.setPaused(HOLDER, true);
        holds.release(group);
        runUntil(1_000);
        assertEquals(0, engines.sentCount(HOLDER, RequestKind.RELEASE));

        engines.setPaused(HOLDER, false);
        runUntilJustBeforeTheDeadline();

        assertTrue(engines.sentCount(HOLDER, RequestKind.RELEASE) > 0);
        assertEquals(0, holds.openCount());
    }

    @Test
    void aHoldInUseIsRenewedAndReleasedWhileItsEngineDrains() {
        HoldGroup group = reserveComplete(HOLDER);
        engines.drain(HOLDER);

        runUntilJustBeforeTheDeadline();

        assertEquals(1, engines.heldCount(HOLDER));
        holds.release(group);
        engines.advanceTo(engines.nowNanos() + TimeUnit.MILLISECONDS.toNanos(TICK_MS));
        assertEquals(0, engines.heldCount(HOLDER));
    }

    @Test
    void theListenerIsCalledOnceWhenAnEngineIsUnregisteredAndTheLedgerIsFull() {
        fillLedgerExceptOne();
        engines.stop(HOLDER);

        reserve(HOLDER, OTHER_HOLDER, USER);
        runUntil(TICK_MS);

        assertEquals("the engine is no longer registered", failedGroup().failure());
    }

    /** Guards against entries that keep the ledger full although nothing was reserved. */
    @Test
    void aGroupThatDoesNotFitIntoTheLedgerReservesNothing() {
        fillLedgerExceptOne();
        long openBefore = holds.openCount();

        reserve(OTHER_HOLDER, USER);
        runUntil(TICK_MS);

        assertEquals("the hold ledger of this host is full", failedGroup().failure());
        assertEquals(0, engines.sentCount(OTHER_HOLDER, RequestKind.RESERVE));
        assertEquals(openBefore, holds.openCount());
    }

    private void fillLedgerExceptOne() {
        List<HoldRequest> request = List.of(new HoldRequest(USER, TOKENS));
        for (int i = 0; i < MemoryHolds.MAX_HOLDS - 1; i++) {
            holds.reserve(request, deadline(), group -> {});
        }
        assertEquals(MemoryHolds.MAX_HOLDS - 1, holds.openCount());
    }

    private HoldGroup failedGroup() {
        assertEquals(1, reserved.size(), "calls of the listener");
        HoldGroup group = reserved.get(0);
        assertFalse(group.isComplete());
        return group;
    }
}
