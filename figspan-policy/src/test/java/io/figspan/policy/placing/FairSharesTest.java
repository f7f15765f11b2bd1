package io.figspan.policy.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.RunState;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.time.Deadline;
import io.figspan.policy.placing.Placer.AttemptOutcome;
import io.figspan.policy.placing.Placer.AvailableServer;
import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against organisations that get more of scarce engines than others which wait. */
class FairSharesTest {
    private static final EngineProfile ENGINE =
            new EngineProfile(4, 315_000, 51, 0.85, 0.006, 0.0029, 177, 0.184, 2_048, 200, 0.05);
    private static final OrganisationId GREEDY = OrganisationId.of("greedy");
    private static final OrganisationId LIGHT = OrganisationId.of("light");
    private static final long DEADLINE_MS = 15_000;

    private final EnginePlacer placer = new EnginePlacer(ENGINE, new SplittableRandom(1));
    private final Queue<Job> running = new ArrayDeque<>();
    private long nowNanos = TimeUnit.SECONDS.toNanos(100);
    private int jobs;

    @BeforeEach
    void oneEngine() {
        placer.serversChanged(List.of(new AvailableServer(BackendServerId.of("engine"), ENGINE.slots())), nowNanos);
    }

    private Job job(OrganisationId organisation, long promptTokens) {
        return new Job(
                "job-" + jobs++,
                nowNanos,
                Deadline.after(nowNanos, DEADLINE_MS),
                TimeUnit.SECONDS.toNanos(3),
                TimeUnit.SECONDS.toNanos(1),
                1,
                Optional.of(new PromptLengths(promptTokens, 1_000, OptionalInt.empty())),
                Optional.of(organisation));
    }

    /** Records what was sent, and returns all placements. */
    private List<Placement> carriedOut(List<Placement> placements) {
        placements.stream()
                .filter(placement -> placement instanceof Placement.Send)
                .forEach(placement -> running.add(placement.job()));
        return placements;
    }

    private Job arrived(OrganisationId organisation) {
        Job job = job(organisation, 5_000);
        carriedOut(placer.arrived(job, nowNanos));
        return job;
    }

    /** Ends the oldest job that runs, and returns the organisation of the one that takes its slot. */
    private OrganisationId nextAfterAnEnd() {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(50);
        placer.pieceArrived(running.element(), 1, nowNanos);
        carriedOut(placer.ended(running.remove(), AttemptOutcome.SERVED, nowNanos));
        assertEquals(ENGINE.slots(), running.size(), "the free slot is used at once");
        return new ArrayList<>(running).get(running.size() - 1).organisation().orElseThrow();
    }

    private void arrivedTimes(OrganisationId organisation, int count) {
        for (int i = 0; i < count; i++) {
            arrived(organisation);
        }
    }

    /** Guards against a limit for an organisation that nobody else competes with. */
    @Test
    void anOrganisationThatIsAloneGetsAllSlots() {
        arrivedTimes(GREEDY, 10);
        assertEquals(ENGINE.slots(), running.size());
        for (int i = 0; i < 6; i++) {
            assertEquals(GREEDY, nextAfterAnEnd());
        }
        assertEquals(List.of(), placer.shareChanges(nowNanos));
    }

    /** Guards against a request that waits for all those that another organisation has queued before it. */
    @Test
    void theNextSlotGoesToTheOrganisationThatHasNone() {
        arrivedTimes(GREEDY, 30);
        arrived(LIGHT);
        assertEquals(LIGHT, nextAfterAnEnd());
        assertEquals(GREEDY, nextAfterAnEnd());
    }

    /** Guards against an arrival that takes a slot between two attempts to place one that waits. */
    @Test
    void anArrivalOfAnOrganisationBeyondItsShareDoesNotTakeTheSlotOfOneThatWaits() {
        arrivedTimes(GREEDY, 4);
        Job waiting = arrived(LIGHT);
        nowNanos += TimeUnit.MILLISECONDS.toNanos(5);
        placer.ended(running.remove(), AttemptOutcome.SERVED, nowNanos);
        arrived(GREEDY);
        nowNanos += TimeUnit.MILLISECONDS.toNanos(50);
        assertEquals(waiting, carriedOut(placer.tick(nowNanos)).get(0).job());
    }

    /** Guards against slots that stay idle because a prompt of another organisation waits for memory. */
    @Test
    void aHugePromptThatWaitsForMemoryKeepsNoSlotFromTheOthers() {
        arrivedTimes(GREEDY, ENGINE.slots() - 1);
        assertEquals(List.of(), placer.arrived(job(LIGHT, 310_000), nowNanos));
        arrived(GREEDY);
        assertEquals(ENGINE.slots(), running.size());
        arrived(GREEDY);
        for (int i = 0; i < 5; i++) {
            arrived(GREEDY);
            assertEquals(GREEDY, nextAfterAnEnd());
        }
    }

    /** Guards against credit from a pause, and against an organisation that stays behind after it. */
    @Test
    void anOrganisationThatReturnsAfterAPauseGetsHalfOfTheSlots() {
        arrivedTimes(LIGHT, 1);
        arrivedTimes(GREEDY, 60);
        for (int i = 0; i < 30; i++) {
            assertEquals(GREEDY, nextAfterAnEnd());
        }
        arrivedTimes(LIGHT, 30);
        int ofLight = 0;
        for (int i = 0; i < 20; i++) {
            ofLight += nextAfterAnEnd().equals(LIGHT) ? 1 : 0;
        }
        assertTrue(ofLight >= 9 && ofLight <= 12, "of 20 slots: " + ofLight);
    }

    /** Guards against a flood that displaces others, and against callers that all return at the same time. */
    @Test
    void aFullQueueDisplacesTheHeaviestOrganisationWithSpreadRetryTimes() {
        arrivedTimes(GREEDY, ENGINE.slots());
        Job huge = job(LIGHT, 300_000);
        assertEquals(List.of(), placer.arrived(huge, nowNanos));
        arrivedTimes(GREEDY, WaitingJobs.MAX_WAITING - 1);
        Set<Long> retryTimesMs = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            OrganisationId organisation = OrganisationId.of("other-" + i);
            List<Placement> placements = placer.arrived(job(organisation, 5_000), nowNanos);
            Placement.Refuse refuse = assertInstanceOf(Placement.Refuse.class, placements.get(0));
            assertEquals(Optional.of(GREEDY), refuse.job().organisation());
            assertEquals(RunState.NOT_RUN, refuse.problem().run());
            long retryAfterMs = refuse.problem().retryAfterMs();
            assertTrue(retryAfterMs >= EnginePlacer.RETRY_AFTER_MS && retryAfterMs <= DEADLINE_MS / 3);
            retryTimesMs.add(retryAfterMs);
        }
        assertTrue(retryTimesMs.size() > 15, retryTimesMs.toString());
        assertEquals(WaitingJobs.MAX_WAITING, placer.waiting());
    }

    /** Guards against a log line for each request of a limited organisation. */
    @Test
    void aLimitIsReportedOnceWhenItBeginsAndWhenItEnds() {
        arrivedTimes(GREEDY, 10);
        arrived(LIGHT);
        assertEquals(List.of(), placer.shareChanges(nowNanos), "without a free slot, all wait alike");
        nowNanos += TimeUnit.MILLISECONDS.toNanos(5);
        placer.ended(running.remove(), AttemptOutcome.SERVED, nowNanos);
        arrivedTimes(GREEDY, 2);
        assertEquals(List.of(new ShareChange(GREEDY, true, 0, 0)), placer.shareChanges(nowNanos));
        assertEquals(List.of(), placer.shareChanges(nowNanos));
        nowNanos += TimeUnit.SECONDS.toNanos(2);
        List<ShareChange> ended = placer.shareChanges(nowNanos);
        assertEquals(1, ended.size());
        assertEquals(GREEDY, ended.get(0).organisation());
        assertTrue(!ended.get(0).isLimited() && ended.get(0).heldBack() > 0, ended.toString());
    }
}
