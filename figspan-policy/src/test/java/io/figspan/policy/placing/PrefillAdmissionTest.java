package io.figspan.policy.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.policy.placing.ReadPlanner.Wanted;
import io.figspan.policy.placing.SendRule.Verdict;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against long prompts that are sent into a crowd, and against waits that end in nothing. */
class SendRuleTest {
    private static final Wanted WANTED = new Wanted(154_000, 155_000, 3_000, 12_000, 1_000, 20);

    private static ReadPlan plan(double doneMs, double harm) {
        return new ReadPlan(null, List.of(), 200, doneMs, harm, harm);
    }

    private static Verdict decide(double doneMs, double harm, double nowMs) {
        return SendRule.decide(plan(doneMs, harm), WANTED, 0, nowMs);
    }

    @Test
    void aRequestThatHarmsLittleIsSentAtOnce() {
        assertEquals(Verdict.SEND, decide(800, 1, 0));
    }

    @Test
    void aRequestThatHarmsMuchWaitsWhileItHasTime() {
        assertEquals(Verdict.WAIT, decide(800, 7, 0));
    }

    @Test
    void aRequestThatWouldBeLateMayHarmMore() {
        assertEquals(Verdict.SEND, decide(2_900, 7, 2_200));
        assertEquals(Verdict.WAIT, decide(2_900, 9, 2_200));
    }

    @Test
    void aRequestWhoseCallerIsAboutToLeaveMayHarmHalfOfItsWorth() {
        assertEquals(Verdict.SEND, decide(11_500, 9, 10_900));
        assertEquals(Verdict.WAIT, decide(11_500, 15, 10_900));
    }

    @Test
    void aRequestThatCannotBeReadInTimeIsRefused() {
        assertEquals(Verdict.REFUSE, decide(12_100, 0, 9_000));
    }

    @Test
    void readingHasAPriceWhereEnginesAreCrowded() {
        ReadPlan giant = new ReadPlan(null, List.of(), 12_000, 12_000 - 1, 0, 0);
        assertEquals(Verdict.SEND, SendRule.decide(giant, WANTED, 0, 0));
        assertEquals(Verdict.WAIT, SendRule.decide(giant, WANTED, 400, 0));
    }
}
