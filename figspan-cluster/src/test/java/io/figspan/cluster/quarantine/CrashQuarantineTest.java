package io.figspan.cluster.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.SuspectId;
import io.figspan.cluster.message.SuspectKind;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.PromptPartId;
import io.figspan.core.id.RequestFingerprint;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CrashQuarantineTest {
    private static final HostId HOST = HostId.of("host-1");
    private static final PromptPartId COMMON = PromptPartId.of("f1");
    private static final PromptPartId DOCUMENT = PromptPartId.of("d1");
    private static final PromptPartId CRASHING = PromptPartId.of("c0de");
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final CrashQuarantine quarantine = new CrashQuarantine(HOST, 0);
    private final List<QuarantineAction> actions = new ArrayList<>();
    private long nowNanos;

    private static BackendIncarnation engine(int number) {
        return new BackendIncarnation(BackendServerId.of("engine-" + number), 1);
    }

    /** A request of its own with these parts. */
    private static RequestIdentity request(int number, PromptPartId... parts) {
        return new RequestIdentity(RequestFingerprint.of(Optional.empty(), "POST", "/" + number), List.of(parts));
    }

    /** A crash under a prompt that no earlier crash has to do with. */
    private void crash(int engine, PromptPartId... parts) {
        pass(SECOND_NANOS);
        quarantine.serverCrashed(engine(engine), request(engine, parts), true, nowNanos);
        pass(SECOND_NANOS);
    }

    private void pass(long nanos) {
        nowNanos += nanos;
        actions.addAll(quarantine.tick(nowNanos));
    }

    private boolean isRefused(PromptPartId... parts) {
        return quarantine.refusal(request(-1, parts), nowNanos).isPresent();
    }

    private void quarantineCrashingPart() {
        crash(1, CRASHING);
        crash(2, CRASHING);
        crash(3, CRASHING);
        assertTrue(isRefused(CRASHING));
    }

    @Test
    void aPartIsRefusedAfterThreeCrashesAndNotBefore() {
        crash(1, COMMON, CRASHING);
        quarantine.answerBegan(request(-1, COMMON), nowNanos);
        crash(2, COMMON, CRASHING, DOCUMENT);
        assertFalse(isRefused(COMMON, CRASHING));

        crash(3, COMMON, CRASHING);

        assertTrue(isRefused(COMMON, CRASHING, DOCUMENT));
        assertFalse(isRefused(COMMON, DOCUMENT));
        assertTrue(actions.contains(new QuarantineAction.Quarantined(Set.of(new SuspectId.OfPart(CRASHING)), 3)));
    }

    @Test
    void simultaneousCrashesCountAsOne() {
        for (int engine = 0; engine < 6; engine++) {
            quarantine.serverCrashed(engine(engine), request(engine, CRASHING), true, nowNanos);
        }
        pass(SECOND_NANOS);

        assertFalse(isRefused(CRASHING));
    }

    @Test
    void ofPartsWithTheSameCrashesOnlyPromptsWithAllOfThemAreRefused() {
        crash(1, COMMON, CRASHING, DOCUMENT);
        crash(2, COMMON, CRASHING, DOCUMENT);
        crash(3, COMMON, CRASHING, DOCUMENT);
        assertFalse(isRefused(COMMON, CRASHING, DOCUMENT));

        crash(4, COMMON, CRASHING, DOCUMENT);

        assertTrue(isRefused(DOCUMENT, CRASHING, COMMON));
        assertFalse(isRefused(COMMON, DOCUMENT));
        assertFalse(isRefused(COMMON, CRASHING));
        assertFalse(isRefused(CRASHING));
    }

    @Test
    void anAnswerDistinguishesPartsWithTheSameCrashes() {
        for (int engine = 1; engine <= 4; engine++) {
            crash(engine, COMMON, CRASHING, DOCUMENT);
        }
        quarantine.answerBegan(request(-1, COMMON, DOCUMENT), nowNanos);
        pass(SECOND_NANOS);

        assertTrue(isRefused(CRASHING));
        assertFalse(isRefused(COMMON, DOCUMENT));
    }

    @Test
    void aCrashWithoutSomeOfThemDistinguishesPartsWithTheSameCrashes() {
        for (int engine = 1; engine <= 4; engine++) {
            crash(engine, COMMON, CRASHING, DOCUMENT);
        }
        crash(5, COMMON, CRASHING);

        assertTrue(isRefused(COMMON, CRASHING, PromptPartId.of("d2")));
        assertFalse(isRefused(COMMON, DOCUMENT));

        crash(6, CRASHING);

        assertTrue(isRefused(CRASHING));
        assertFalse(isRefused(COMMON, DOCUMENT));
    }

    /** Guards against a sound part that is refused for long because two others with it crash servers. */
    @Test
    void aPartOfTwoIndependentCausesIsTriedSoonWithoutThem() {
        PromptPartId secondCause = PromptPartId.of("c0df");
        crash(1, COMMON, CRASHING);
        crash(2, COMMON, CRASHING);
        crash(3, COMMON, secondCause);
        assertTrue(isRefused(COMMON, CRASHING));
        assertTrue(isRefused(COMMON, secondCause));
        pass(SECOND_NANOS);

        RequestIdentity sound = request(-1, COMMON, DOCUMENT);
        assertTrue(quarantine.refusalOfSend(sound, nowNanos).isEmpty());
        quarantine.answerBegan(sound, nowNanos);
        pass(SECOND_NANOS);

        assertFalse(isRefused(COMMON, DOCUMENT));
    }

    @Test
    void aPartWhoseTrialCrashesAServerIsNotTriedAgainSoon() {
        crash(1, COMMON, CRASHING);
        crash(2, COMMON, CRASHING);
        crash(3, COMMON, DOCUMENT);
        pass(SECOND_NANOS);
        assertTrue(quarantine
                .refusalOfSend(request(-1, COMMON, PromptPartId.of("d2")), nowNanos)
                .isEmpty());
        crash(4, COMMON, PromptPartId.of("d2"));
        pass(10 * SECOND_NANOS);

        assertTrue(isRefused(COMMON, PromptPartId.of("d3")));
    }

    @Test
    void aRefusalForATieNamesATimeOfSeconds() {
        for (int engine = 1; engine <= 8; engine++) {
            crash(engine, CRASHING, DOCUMENT);
        }
        long retryAfterMs = quarantine
                .refusal(request(-1, CRASHING, DOCUMENT), nowNanos)
                .orElseThrow()
                .retryAfterMs()
                .orElseThrow();

        assertTrue(retryAfterMs <= 5_000, retryAfterMs + " ms");
    }

    @Test
    void crashesThatAQuarantinedPartExplainsDontCountAgainstOthers() {
        quarantineCrashingPart();
        crash(4, CRASHING, DOCUMENT);
        crash(5, CRASHING, DOCUMENT);
        crash(6, CRASHING, DOCUMENT);

        assertFalse(isRefused(DOCUMENT));
    }

    @Test
    void anAnswerThatBeginsReleasesThePart() {
        quarantineCrashingPart();

        quarantine.answerBegan(request(-1, CRASHING), nowNanos);
        pass(SECOND_NANOS);

        assertFalse(isRefused(CRASHING));
        assertTrue(actions.contains(new QuarantineAction.Released(Set.of(new SuspectId.OfPart(CRASHING)), 0)));
    }

    @Test
    void aServerThatRespondsToAnEarlierRequestHasNotCrashed() {
        crash(1, CRASHING);
        crash(2, CRASHING);
        long sentNanos = nowNanos;
        crash(3, CRASHING);

        quarantine.serverResponded(engine(3), sentNanos, nowNanos);
        pass(SECOND_NANOS);

        assertFalse(isRefused(CRASHING));
    }

    @Test
    void aServerThatStartsAgainUnderItsIdRefutesNothing() {
        quarantineCrashingPart();
        pass(5 * SECOND_NANOS);

        quarantine.serverResponded(engine(3), nowNanos, nowNanos + SECOND_NANOS);
        pass(SECOND_NANOS);

        assertTrue(isRefused(CRASHING));
    }

    @Test
    void oneTrialIsAdmittedAfterAMinuteAndTheNextFourTimesAsLongAfterItsCrash() {
        quarantineCrashingPart();
        pass(50 * SECOND_NANOS);
        assertTrue(isRefused(CRASHING));

        pass(20 * SECOND_NANOS);
        assertTrue(quarantine.refusalOfSend(request(-1, CRASHING), nowNanos).isEmpty());
        assertTrue(quarantine.refusalOfSend(request(-1, CRASHING), nowNanos).isPresent());

        crash(4, CRASHING);
        pass(230 * SECOND_NANOS);
        assertTrue(isRefused(CRASHING));
        pass(20 * SECOND_NANOS);
        assertFalse(isRefused(CRASHING));
    }

    @Test
    void onlyOneOfTheHostsAdmitsATrial() {
        Set<HostId> hosts = Set.of(HOST, HostId.of("host-2"), HostId.of("host-3"), HostId.of("host-4"));
        PeerMessage.CrashEvidence evidence = evidenceOfQuarantine();
        int admitting = 0;
        for (HostId host : hosts) {
            CrashQuarantine atHost = new CrashQuarantine(host, 0);
            atHost.hostsChanged(hosts);
            atHost.receive(evidence, 0);
            atHost.tick(SECOND_NANOS);
            assertTrue(atHost.refusal(request(-1, CRASHING), SECOND_NANOS).isPresent());
            if (atHost.refusal(request(-1, CRASHING), 70 * SECOND_NANOS).isEmpty()) {
                admitting++;
            }
        }
        assertEquals(1, admitting);
    }

    private PeerMessage.CrashEvidence evidenceOfQuarantine() {
        quarantineCrashingPart();
        return quarantine.evidenceForNewHost(HostId.of("host-9"), nowNanos).get(0);
    }

    @Test
    void aNewHostRefusesWhatTheOthersRefuse() {
        CrashQuarantine newHost = new CrashQuarantine(HostId.of("host-9"), 0);

        newHost.receive(evidenceOfQuarantine(), 0);
        newHost.tick(0);

        assertTrue(newHost.refusal(request(-1, CRASHING), 0).isPresent());
    }

    /** Guards against an entry for each of thousands of parts of one prompt. */
    @Test
    void thePartsOfOnePromptShareAnEntryInFewMessages() {
        PromptPartId[] parts = new PromptPartId[2_000];
        Arrays.setAll(parts, part -> PromptPartId.of(Integer.toHexString(part)));
        quarantine.serverCrashed(engine(1), request(1, parts), true, nowNanos);
        for (int tick = 0; tick < 50; tick++) {
            pass(TimeUnit.MILLISECONDS.toNanos(40));
        }

        List<PeerMessage.CrashEvidence> sent = actions.stream()
                .filter(action -> action instanceof QuarantineAction.SendToAll)
                .map(action -> ((QuarantineAction.SendToAll) action).message())
                .toList();
        Set<SuspectId> known = new HashSet<>();
        for (PeerMessage.CrashEvidence message : sent) {
            assertTrue(message.suspects().size() <= 2, "the request and one entry for its parts");
            message.suspects().forEach(entry -> {
                assertTrue(entry.suspects().size() <= EvidencePages.MAX_SUSPECTS);
                known.addAll(entry.suspects());
            });
        }
        assertEquals(2_001, known.size());
        assertTrue(sent.size() <= 4 * EvidenceOutbox.SENDS, sent.size() + " messages");
    }

    @Test
    void messagesAndTheTableAreBounded() {
        quarantineCrashingPart();
        for (int part = 0; part < 2 * SuspectKind.PROMPT_PART.maxTracked(); part++) {
            quarantine.serverCrashed(engine(part), request(part, PromptPartId.of("a" + part)), true, nowNanos);
        }

        actions.clear();
        pass(SECOND_NANOS);

        assertTrue(isRefused(CRASHING));
        assertTrue(actions.stream()
                .filter(action -> action instanceof QuarantineAction.SendToAll)
                .map(action -> ((QuarantineAction.SendToAll) action).message().suspects())
                .allMatch(entries -> entries.stream()
                                .mapToInt(entry -> entry.suspects().size())
                                .sum()
                        <= EvidencePages.MAX_ENTRIES));
    }
}
