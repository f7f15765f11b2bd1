package io.figspan.policy.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.RunState;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.time.Deadline;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.PrefillReader;
import io.figspan.policy.placing.Placer.AttemptOutcome;
import io.figspan.policy.placing.Placer.AvailableServer;
import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against placements that ignore the load of engines, and against work left on engines that failed. */
class EnginePlacerTest {
    private static final EngineProfile ENGINE =
            new EngineProfile(4, 315_000, 51, 0.85, 0.006, 0.0029, 177, 0.184, 2_048, 200, 0.05);
    private static final HostId PEER = HostId.of("peer");

    private final EnginePlacer placer = new EnginePlacer(ENGINE, new SplittableRandom(1));
    private long nowNanos = TimeUnit.SECONDS.toNanos(100);
    private int jobs;

    private void engines(int count) {
        List<AvailableServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new AvailableServer(engine(i), ENGINE.slots()));
        }
        placer.serversChanged(servers, nowNanos);
    }

    private static BackendServerId engine(int number) {
        return BackendServerId.of("engine-" + number);
    }

    private Job job(long promptTokens, long targetMs, long gapMs) {
        return new Job(
                "job-" + jobs++,
                nowNanos,
                Deadline.after(nowNanos, 15_000),
                TimeUnit.MILLISECONDS.toNanos(targetMs),
                TimeUnit.MILLISECONDS.toNanos(gapMs),
                1,
                Optional.of(new PromptLengths(promptTokens, 2_000, OptionalInt.empty())));
    }

    private Job shortJob() {
        return job(5_000, 300, 250);
    }

    private Job longJob(long promptTokens) {
        return job(promptTokens, 3_000, 1_000);
    }

    private Placement.Send sent(Job job) {
        List<Placement> placements = placer.arrived(job, nowNanos);
        assertEquals(1, placements.size(), "the job is placed at once");
        return assertInstanceOf(Placement.Send.class, placements.get(0));
    }

    private void advanceMs(long ms) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void aShortPromptIsSentToOneEngine() {
        engines(3);
        assertTrue(sent(shortJob()).readers().isEmpty());
    }

    @Test
    void shortPromptsShareEnginesSoThatOthersStayFreeForLongOnes() {
        engines(6);
        Set<BackendServerId> used = new HashSet<>();
        for (int i = 0; i < ENGINE.slots(); i++) {
            Job job = shortJob();
            used.add(sent(job).server());
            advanceMs(100);
            placer.pieceArrived(job, 1, nowNanos);
        }
        assertTrue(used.size() <= 2, "four short prompts use " + used);
    }

    @Test
    void aLongPromptIsPrefilledBySeveralEnginesButNotByOnesThatServeShortPrompts() {
        engines(6);
        Job first = shortJob();
        BackendServerId busy = sent(first).server();
        advanceMs(100);
        placer.pieceArrived(first, 1, nowNanos);
        Placement.Send send = sent(longJob(154_000));
        assertFalse(send.readers().isEmpty());
        assertFalse(send.server().equals(busy));
        assertTrue(send.readers().stream().noneMatch(reader -> reader.server().equals(busy)));
    }

    @Test
    void aPromptLargerThanOneEngineHoldsMemoryOnHelpers() {
        engines(4);
        Placement.Send send = sent(longJob(500_000));
        long held = send.readers().stream().mapToLong(PrefillReader::heldTokens).sum();
        assertTrue(held >= 500_000 - ENGINE.memoryTokens(), "held elsewhere: " + held);
        assertTrue(send.readers().get(0).heldTokens() > 0, "engines that hold memory come first");
    }

    @Test
    void aJobIsQueuedWhileAllSlotsAreTakenAndPlacedWhenOneIsFree() {
        engines(1);
        List<Job> running = new ArrayList<>();
        for (int i = 0; i < ENGINE.slots(); i++) {
            running.add(shortJob());
            sent(running.get(i));
            advanceMs(40);
        }
        Job waiting = shortJob();
        assertTrue(placer.arrived(waiting, nowNanos).isEmpty());
        assertEquals(1, placer.waiting());
        advanceMs(50);
        List<Placement> placements = placer.ended(running.get(0), AttemptOutcome.SERVED, nowNanos);
        assertEquals(waiting, placements.get(0).job());
        assertEquals(0, placer.waiting());
    }

    @Test
    void aJobThatFindsNoEngineBeforeItsCallerGivesUpIsRefusedAsNotRun() {
        engines(1);
        for (int i = 0; i < ENGINE.slots(); i++) {
            sent(shortJob());
        }
        placer.arrived(shortJob(), nowNanos);
        advanceMs(2_100);
        Placement.Refuse refuse =
                assertInstanceOf(Placement.Refuse.class, placer.tick(nowNanos).get(0));
        assertEquals(RunState.NOT_RUN, refuse.problem().run());
        assertTrue(refuse.problem().retryAfterMs() > 0);
    }

    @Test
    void workOfOtherHostsTakesSlotsUntilItIsGone() {
        engines(1);
        List<PlacedRequest> work = new ArrayList<>();
        for (int i = 0; i < ENGINE.slots(); i++) {
            work.add(new PlacedRequest(i, engine(0), List.of(), 5_000, 1_000, 52, 500, -200, 250));
        }
        placer.peerWork(PEER, work, nowNanos);
        assertTrue(placer.arrived(shortJob(), nowNanos).isEmpty());
        advanceMs(50);
        assertEquals(1, placer.peerWork(PEER, List.of(), nowNanos).size());
    }

    @Test
    void workOfOtherHostsCountsAtAnEngineThatIsAddedLater() {
        List<PlacedRequest> work = new ArrayList<>();
        for (int i = 0; i < ENGINE.slots(); i++) {
            work.add(new PlacedRequest(i, engine(1), List.of(), 5_000, 1_000, 52, 500, -200, 250));
        }
        engines(1);
        placer.peerWork(PEER, work, nowNanos);
        engines(2);
        placer.peerWork(PEER, work, nowNanos);

        for (int i = 0; i < ENGINE.slots(); i++) {
            assertEquals(engine(0), sent(shortJob()).server());
        }
        assertTrue(placer.arrived(shortJob(), nowNanos).isEmpty(), "both engines are full");
    }

    @Test
    void theReportedWorkIsWhatWasPlaced() {
        engines(4);
        Job job = longJob(500_000);
        Placement.Send send = sent(job);
        PlacedRequest reported = placer.ownWork(nowNanos).get(0);
        assertEquals(send.server(), reported.server());
        assertEquals(send.readers(), reported.readers());
        assertEquals(500_000, reported.promptTokens());
        placer.ended(job, AttemptOutcome.SERVED, nowNanos);
        assertTrue(placer.ownWork(nowNanos).isEmpty());
    }

    @Test
    void anEngineThatLeavesGetsNothingNew() {
        engines(2);
        placer.serversChanged(List.of(new AvailableServer(engine(1), ENGINE.slots())), nowNanos);
        assertEquals(engine(1), sent(shortJob()).server());
        assertEquals(engine(1), sent(job(8_000, 300, 250)).server());
    }

    @Test
    void anUnreachableEngineGetsNoNewWorkDuringItsBackoff() {
        engines(2);
        Job job = shortJob();
        BackendServerId broken = sent(job).server();
        placer.ended(job, AttemptOutcome.BROKEN, nowNanos);
        assertFalse(sent(shortJob()).server().equals(broken));
    }

    @Test
    void aJobIsOverdueSoonAfterItsFirstTokenWasExpected() {
        engines(2);
        Job job = shortJob();
        sent(job);

        advanceMs(300);
        assertTrue(placer.overdue(nowNanos).isEmpty());
        advanceMs(900);
        assertEquals(List.of(job), placer.overdue(nowNanos));
        assertTrue(placer.overdue(nowNanos).isEmpty(), "each attempt is reported once");
    }

    @Test
    void aJobIsNotOverdueWhileItsEngineDecodesAnotherAnswer() {
        engines(1);
        Job decoding = shortJob();
        sent(decoding);
        Job prefilling = shortJob();
        sent(prefilling);

        for (int piece = 1; piece <= 20; piece++) {
            advanceMs(100);
            placer.pieceArrived(decoding, piece, nowNanos);
        }

        assertTrue(placer.overdue(nowNanos).isEmpty());
    }

    @Test
    void aJobIsOverdueWhenItsEngineStopsWithinTheAnswer() {
        engines(2);
        Job job = shortJob();
        sent(job);
        advanceMs(100);
        placer.pieceArrived(job, 1, nowNanos);
        advanceMs(60);
        placer.pieceArrived(job, 2, nowNanos);

        advanceMs(1_000);

        assertEquals(List.of(job), placer.overdue(nowNanos));
    }

    private Placement.Send endedAsSilent(Job job) {
        Placement.Send placement = sent(job);
        placer.ended(job, AttemptOutcome.SILENT, nowNanos);
        assertEquals(List.of(), placer.ownWork(nowNanos));
        return placement;
    }

    /** Guards against engines that get too much work because a request that goes on there is not counted. */
    @Test
    void aJobThatGoesOnAtItsSilentEngineCountsThereAgain() {
        engines(8);
        Job job = longJob(154_000);
        Placement.Send placement = endedAsSilent(job);

        placer.resumed(job, placement.server(), nowNanos);

        PlacedRequest work = placer.ownWork(nowNanos).get(0);
        assertEquals(placement.server(), work.server());
        assertEquals(placement.readers(), work.readers());
        placer.ended(job, AttemptOutcome.SERVED, nowNanos);
        assertEquals(List.of(), placer.ownWork(nowNanos));
    }

    /** Guards against requests that wait for a server that is dead until their deadline. */
    @Test
    void aJobThatGoesOnAtItsSilentEngineIsOverdueAgainIfTheSilenceLasts() {
        engines(2);
        Job job = shortJob();
        Placement.Send placement = endedAsSilent(job);

        placer.resumed(job, placement.server(), nowNanos);
        advanceMs(700);
        assertEquals(List.of(), placer.overdue(nowNanos));
        advanceMs(200);

        assertEquals(List.of(job), placer.overdue(nowNanos));
    }

    /** Guards against silence that is ignored because the job stayed at its engine after an earlier one. */
    @Test
    void aJobIsOverdueAgainWhenItsEngineStopsOnceMore() {
        engines(2);
        Job job = shortJob();
        sent(job);
        advanceMs(1_200);
        assertEquals(List.of(job), placer.overdue(nowNanos));
        placer.pieceArrived(job, 1, nowNanos);
        assertTrue(placer.overdue(nowNanos).isEmpty());

        advanceMs(1_200);

        assertEquals(List.of(job), placer.overdue(nowNanos));
    }

    @Test
    void aForgottenJobIsNotResumed() {
        engines(2);
        Job job = shortJob();
        Placement.Send placement = endedAsSilent(job);

        placer.forgotten(job);
        placer.resumed(job, placement.server(), nowNanos);

        assertEquals(List.of(), placer.ownWork(nowNanos));
    }

    @Test
    void aJobWithHelpersIsOverdueOnlyAfterTheEngineCouldReportADeadHelper() {
        engines(8);
        Job job = longJob(154_000);
        assertFalse(sent(job).readers().isEmpty());

        advanceMs(2_000);
        assertTrue(placer.overdue(nowNanos).isEmpty());
        advanceMs(2_500);
        assertEquals(List.of(job), placer.overdue(nowNanos));
    }

    @Test
    void aFailedHelperGetsNoOtherShare() {
        engines(24);
        Placement.Send first = sent(longJob(154_000));
        BackendServerId helper = first.readers().get(0).server();

        placer.helperFailed(helper, nowNanos);
        Placement.Send second = sent(longJob(154_000));

        assertFalse(second.server().equals(helper));
        assertTrue(second.readers().stream().noneMatch(reader -> reader.server().equals(helper)));
    }

    /** Guards against requests that wait for an engine that has begun to drain until their callers give up. */
    @Test
    void aJobThatIsRestrictedToAnEngineThatDrainsIsPlacedElsewhere() {
        engines(2);
        Job job = shortJob();
        Placement.Send first = sent(job);
        job.pinTo(first.server());
        placer.ended(job, AttemptOutcome.HELPER_FAILED, nowNanos);
        BackendServerId other = first.server().equals(engine(0)) ? engine(1) : engine(0);

        placer.serversChanged(List.of(new AvailableServer(other, ENGINE.slots())), nowNanos);

        assertEquals(other, sent(job).server());
    }

    @Test
    void aJobWhoseHelperFailedIsSentToItsEngineAgain() {
        engines(4);
        Job job = longJob(154_000);
        Placement.Send first = sent(job);
        placer.helperFailed(first.readers().get(0).server(), nowNanos);

        job.pinTo(first.server());
        placer.ended(job, AttemptOutcome.HELPER_FAILED, nowNanos);

        assertEquals(first.server(), sent(job).server());
    }

    @Test
    void anAnswerThatBrokeOffLongAfterItsTargetIsContinuedOnAnotherEngine() {
        engines(2);
        Job job = shortJob();
        sent(job);
        for (int piece = 1; piece <= 30; piece++) {
            advanceMs(100);
            placer.pieceArrived(job, piece, nowNanos);
        }
        placer.ended(job, AttemptOutcome.BROKEN, nowNanos);

        sent(job);
    }

    @Test
    void jobsAreNotOverdueWhileManyEnginesAreSilentTogether() {
        engines(6);
        for (int engine = 0; engine < 6; engine++) {
            sent(shortJob());
        }

        advanceMs(1_500);

        assertTrue(placer.overdue(nowNanos).isEmpty());
    }

    @Test
    void hostsThatStartTogetherDoNotAllChooseTheSameEngineFirst() {
        Set<BackendServerId> firstChoices = new HashSet<>();
        for (int host = 0; host < 8; host++) {
            EnginePlacer ofHost = new EnginePlacer(ENGINE, new SplittableRandom(host));
            List<AvailableServer> servers = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                servers.add(new AvailableServer(engine(i), ENGINE.slots()));
            }
            ofHost.serversChanged(servers, nowNanos);
            firstChoices.add(
                    ((Placement.Send) ofHost.arrived(shortJob(), nowNanos).get(0)).server());
        }
        assertTrue(firstChoices.size() > 4, firstChoices.toString());
    }

    @Test
    void aJobIsNotOverdueWhileNoOtherEngineCouldTakeIt() {
        engines(1);
        sent(shortJob());

        advanceMs(2_000);

        assertTrue(placer.overdue(nowNanos).isEmpty());
    }
}
