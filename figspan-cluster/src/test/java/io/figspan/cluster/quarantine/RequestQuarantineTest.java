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
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.PromptPartId;
import io.figspan.core.id.RequestFingerprint;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RequestQuarantineTest {
    private static final PromptPartId COMMON = PromptPartId.of("f1");
    private static final PromptPartId DOCUMENT = PromptPartId.of("d1");
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long HOUR_NANOS = TimeUnit.HOURS.toNanos(1);

    private final CrashQuarantine quarantine = new CrashQuarantine(HostId.of("host-1"), 0);
    private final List<QuarantineAction> actions = new ArrayList<>();
    private final RequestIdentity deadly = request("deadly", COMMON, DOCUMENT);
    private final RequestIdentity sound = request("sound", COMMON, DOCUMENT);
    private long nowNanos;

    private static RequestIdentity request(String target, PromptPartId... parts) {
        return new RequestIdentity(RequestFingerprint.of(Optional.empty(), "POST", target), List.of(parts));
    }

    private static BackendIncarnation server(int number) {
        return new BackendIncarnation(BackendServerId.of("server-" + number), 1);
    }

    /** A server crashes under all these requests. */
    private void crash(int server, RequestIdentity... requests) {
        pass(SECOND_NANOS);
        for (RequestIdentity request : requests) {
            quarantine.serverCrashed(server(server), request, true, nowNanos);
        }
        pass(SECOND_NANOS);
    }

    private void pass(long nanos) {
        nowNanos += nanos;
        actions.addAll(quarantine.tick(nowNanos));
    }

    private boolean isRefused(RequestIdentity request) {
        return quarantine.refusalOfSend(request, nowNanos).isPresent();
    }

    private void quarantineDeadly() {
        crash(1, deadly);
        crash(2, deadly);
        crash(3, deadly);
        assertTrue(isRefused(deadly));
    }

    @Test
    void aRequestIsRefusedAfterThreeCrashesAndNotItsParts() {
        crash(1, deadly);
        crash(2, deadly);
        assertFalse(isRefused(deadly));
        assertTrue(quarantine.isSuspect(deadly.fingerprint()));

        crash(3, deadly);

        assertTrue(isRefused(deadly));
        assertFalse(isRefused(sound));
        assertTrue(actions.contains(new QuarantineAction.Quarantined(Set.of(deadly.request()), 3)));
    }

    @Test
    void aCrashAfterTheResponseHasBegunCountsAgainstTheRequestOnly() {
        for (int server = 1; server <= 3; server++) {
            pass(SECOND_NANOS);
            quarantine.serverCrashed(server(server), deadly, false, nowNanos);
            pass(SECOND_NANOS);
        }

        assertTrue(isRefused(deadly));
        assertFalse(quarantine.isSuspect(sound.fingerprint()));
        assertFalse(isRefused(sound));
    }

    @Test
    void soundRequestsBesideTheDeadlyOneThreeTimesInARowAreServed() {
        RequestIdentity another = request("another", COMMON);
        crash(1, sound, deadly, another);
        crash(2, deadly, another, sound);
        crash(3, another, sound, deadly);
        assertFalse(isRefused(sound));
        assertFalse(isRefused(another));

        crash(4, deadly);

        assertTrue(isRefused(deadly));
        assertFalse(isRefused(sound));
        assertFalse(isRefused(another));
    }

    @Test
    void crashesThatAQuarantinedRequestExplainsDontCountAgainstOthers() {
        quarantineDeadly();
        crash(4, deadly, sound);
        crash(5, deadly, sound);
        crash(6, deadly, sound);
        crash(7, sound);

        assertFalse(isRefused(sound));
    }

    /** Guards against evidence on the deadly request that is lost while that on a sound one arrives. */
    @Test
    void aRequestThatWasBlamedForAnotherIsReleasedOnceTheCrashesOfTheOtherAreKnown() {
        crash(1, sound);
        crash(2, sound);
        crash(3, sound);
        assertTrue(isRefused(sound));

        for (int server = 1; server <= 5; server++) {
            crash(server, deadly);
        }

        assertTrue(isRefused(deadly));
        assertFalse(isRefused(sound));
    }

    @Test
    void aPartThatCrashesServersUnderDifferentRequestsIsQuarantined() {
        crash(1, request("a", DOCUMENT));
        crash(2, request("b", DOCUMENT));
        crash(3, request("c", DOCUMENT));

        assertTrue(isRefused(request("d", DOCUMENT)));
    }

    @Test
    void aPartWhoseRequestsAreEachQuarantinedIsQuarantinedInTheEnd() {
        int server = 0;
        for (String target : List.of("a", "b", "c")) {
            crash(server++, request(target, DOCUMENT));
            crash(server++, request(target, DOCUMENT));
            crash(server++, request(target, DOCUMENT));
        }

        assertTrue(isRefused(request("d", DOCUMENT)));
    }

    @Test
    void aCompleteResponseAtAnyHostReleasesTheRequest() {
        quarantineDeadly();
        CrashQuarantine other = new CrashQuarantine(HostId.of("host-2"), 0);
        evidence().forEach(message -> other.receive(message, nowNanos));

        other.requestServed(deadly, nowNanos);
        List<QuarantineAction> sent = other.tick(nowNanos);
        sent.stream()
                .filter(action -> action instanceof QuarantineAction.SendToAll)
                .forEach(action -> quarantine.receive(((QuarantineAction.SendToAll) action).message(), nowNanos));
        pass(SECOND_NANOS);

        assertFalse(isRefused(deadly));
    }

    /** Guards against a host that decides on no evidence which it received right before a pause. */
    @Test
    void aHostThatIsPausedAfterTheThirdCrashRefusesTheRequestOnceItRuns() {
        crash(1, deadly);
        crash(2, deadly);
        pass(SECOND_NANOS);
        quarantine.serverCrashed(server(3), deadly, true, nowNanos);

        pass(2 * CrashQuarantine.DECISION_NANOS);

        assertTrue(isRefused(deadly));
    }

    /** Guards against a quarantine that lasts for a day at a host that is paused right after it was refuted. */
    @Test
    void aHostThatIsPausedAfterACompleteResponseReleasesTheRequestOnceItRuns() {
        quarantineDeadly();
        quarantine.requestServed(deadly, nowNanos);

        pass(2 * CrashQuarantine.DECISION_NANOS);

        assertFalse(isRefused(deadly));
    }

    /** Guards against a released request that the older evidence of other hosts quarantines again. */
    @Test
    void aReleasedRequestWithManyCrashesIsNotQuarantinedAgainByOlderEvidence() {
        for (int server = 1; server <= Suspect.MAX_CRASHES; server++) {
            crash(server, deadly);
        }
        List<PeerMessage.CrashEvidence> older = evidence();
        quarantine.requestServed(deadly, nowNanos);
        pass(RecentAnswers.RECENT_NANOS);
        assertFalse(isRefused(deadly));

        older.forEach(message -> quarantine.receive(message, nowNanos));
        pass(SECOND_NANOS);

        assertFalse(isRefused(deadly));
    }

    private List<PeerMessage.CrashEvidence> evidence() {
        return quarantine.evidenceForNewHost(HostId.of("host-2"), nowNanos);
    }

    /** Guards against a host that sends what it has queued between the evidence and its next tick. */
    @Test
    void aQuarantineOfAnotherHostHoldsAtOnce() {
        quarantineDeadly();
        CrashQuarantine other = new CrashQuarantine(HostId.of("host-2"), 0);

        evidence().forEach(message -> other.receive(message, nowNanos));

        assertTrue(other.refusalOfSend(deadly, nowNanos).isPresent());
    }

    @Test
    void aRefusedRequestIsNotTriedAgainUntilTheQuarantineExpires() {
        quarantineDeadly();
        for (int hour = 0; hour < 23; hour++) {
            pass(HOUR_NANOS);
            assertEquals(
                    OptionalLong.empty(),
                    quarantine.refusalOfSend(deadly, nowNanos).orElseThrow().retryAfterMs());
        }

        pass(2 * HOUR_NANOS);

        assertFalse(isRefused(deadly));
    }

    @Test
    void theSameRequestOfAnotherOrganisationIsServed() {
        quarantineDeadly();
        RequestFingerprint other = RequestFingerprint.of(Optional.of(OrganisationId.of("org-2")), "POST", "deadly");

        assertFalse(isRefused(new RequestIdentity(other, List.of())));
    }

    /** Guards against one caller whose many deadly requests evict what is known of another's. */
    @Test
    void thousandsOfDeadlyRequestsEvictNoQuarantineBeforeSuspects() {
        quarantineDeadly();
        pass(SECOND_NANOS);
        for (int number = 0; number < 5 * SuspectKind.REQUEST.maxTracked(); number++) {
            quarantine.serverCrashed(server(number), request("r-" + number), true, nowNanos);
        }
        actions.clear();
        pass(SECOND_NANOS);

        assertTrue(isRefused(deadly));
        assertEquals(1, quarantine.quarantinedCount(SuspectKind.REQUEST));
        assertTrue(actions.stream()
                .filter(action -> action instanceof QuarantineAction.SendToAll)
                .map(action -> ((QuarantineAction.SendToAll) action).message().suspects())
                .allMatch(entries -> entries.size() <= EvidencePages.MAX_ENTRIES
                        && entries.stream()
                                        .flatMap(entry -> entry.suspects().stream())
                                        .filter(suspect -> suspect.kind() == SuspectKind.REQUEST)
                                        .count()
                                <= EvidencePages.MAX_ENTRIES));
    }

    /** Guards against suspects that are never repeated, since the same ones take turns. */
    @Test
    void allOfManySuspectsAreRepeatedInTurns() {
        SuspectTable table = new SuspectTable();
        for (int number = 0; number < 1_008; number++) {
            SuspectId id = new SuspectId.OfRequest(request("r-" + number).fingerprint());
            table.findOrAdd(id, 0, 0).addCrash(server(number), 0, 0);
        }
        Set<SuspectId> repeated = new HashSet<>();
        for (int round = 0; round < 70; round++) {
            table.forGossip(0).forEach(suspect -> repeated.add(suspect.id()));
        }

        assertEquals(1_008, repeated.size());
    }

    /** Guards against the loss of a message, after which the other hosts would learn of a quarantine too late. */
    @Test
    void aQuarantineIsSentToAllHostsSeveralTimes() {
        quarantineDeadly();
        actions.clear();
        for (int tick = 0; tick < 10; tick++) {
            pass(TimeUnit.MILLISECONDS.toNanos(100));
        }
        crash(4, deadly);
        actions.clear();
        for (int tick = 0; tick < 10; tick++) {
            pass(TimeUnit.MILLISECONDS.toNanos(100));
        }

        long repeats = actions.stream()
                .filter(action -> action instanceof QuarantineAction.SendToAll all
                        && all.message().suspects().stream()
                                .anyMatch(evidence ->
                                        evidence.suspects().contains(new SuspectId.OfRequest(deadly.fingerprint()))
                                                && evidence.isQuarantined()))
                .count();
        assertEquals(EvidenceOutbox.SENDS - 1, repeats);
    }
}
