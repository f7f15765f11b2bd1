package io.figspan.policy.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.policy.placing.PrefillAdmission.Decision;
import io.figspan.policy.placing.PrefillPlanner.PrefillRequest;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against long prompts that are sent under high load, and against waiting until it is too late. */
class PrefillAdmissionTest {
    private static final PrefillRequest REQUEST =
            new PrefillRequest(154_000, 155_000, 3_000, 12_000, 1_000, 20, SavedPrefill.NONE);

    private static PrefillPlan plan(double doneMs, double lossToOthers) {
        return new PrefillPlan(null, List.of(), 200, doneMs, lossToOthers, lossToOthers);
    }

    private static Decision decide(double doneMs, double lossToOthers, double nowMs) {
        return PrefillAdmission.decide(plan(doneMs, lossToOthers), REQUEST, 0, FairShare.UNLIMITED, nowMs);
    }

    @Test
    void aRequestThatCausesLittleLossIsSentAtOnce() {
        assertEquals(Decision.SEND, decide(800, 1, 0));
    }

    @Test
    void aRequestThatCausesMuchLossWaitsWhileItHasTime() {
        assertEquals(Decision.WAIT, decide(800, 7, 0));
    }

    @Test
    void aRequestThatWouldBeLateMayCauseMoreLoss() {
        assertEquals(Decision.SEND, decide(2_900, 7, 2_200));
        assertEquals(Decision.WAIT, decide(2_900, 9, 2_200));
    }

    @Test
    void aRequestWhoseCallerIsAboutToGiveUpMayCauseHalfOfItsWeightAsLoss() {
        assertEquals(Decision.SEND, decide(11_500, 9, 10_900));
        assertEquals(Decision.WAIT, decide(11_500, 15, 10_900));
    }

    @Test
    void aRequestThatCannotBePrefilledInTimeIsRefused() {
        assertEquals(Decision.REFUSE, decide(12_100, 0, 9_000));
    }

    @Test
    void prefillHasAnOpportunityCostWhenEnginesAreSaturated() {
        PrefillPlan longPrefill = new PrefillPlan(null, List.of(), 12_000, 12_000 - 1, 0, 0);
        assertEquals(Decision.SEND, PrefillAdmission.decide(longPrefill, REQUEST, 0, FairShare.UNLIMITED, 0));
        assertEquals(Decision.WAIT, PrefillAdmission.decide(longPrefill, REQUEST, 400, FairShare.UNLIMITED, 0));
    }

    private static Decision decideWithShare(double lossToOthers, FairShare share) {
        return PrefillAdmission.decide(plan(800, lossToOthers), REQUEST, 0, share, 0);
    }

    /** Guards against an organisation that takes the prefill of others, and against idle engines it may not use. */
    @Test
    void anOrganisationBeyondItsShareIsHeldBackWhileOthersWaitOnlyIfItDelaysSomeone() {
        assertEquals(Decision.SEND, decideWithShare(1, new FairShare(4, 3, 0)));
        assertEquals(Decision.HOLD_BACK, decideWithShare(2, new FairShare(4, 3, 0)));
        assertEquals(Decision.SEND, decideWithShare(2, new FairShare(4, 0, 0)), "nobody with less waits");
        assertEquals(Decision.SEND, decideWithShare(4, new FairShare(0.9, 3, 0)), "within its share");
        assertEquals(Decision.WAIT, decideWithShare(7, new FairShare(4, 3, 0)), "it would wait in any case");
    }

    /** Guards against slots that go to the organisation which already has most of them, and against idle slots. */
    @Test
    void anOrganisationBeyondItsShareTakesOnlySlotsThatTheWaitingOnesDoNotNeed() {
        FairShare exceeded = new FairShare(1.5, 5, 2);
        assertTrue(PrefillAdmission.leavesSlotsToOthers(exceeded, 2));
        assertFalse(PrefillAdmission.leavesSlotsToOthers(exceeded, 3));
        assertFalse(PrefillAdmission.leavesSlotsToOthers(FairShare.UNLIMITED, 0));
    }
}
