package io.figspan.policy.placing;

/**
 * Decides whether a request is sent now or waits for engines with less to do. An engine reads the latest part first, so
 * a long prompt that is sent into a crowd delays all that came before it. Answers load in which prompts that take
 * seconds to read arrive faster than they are read: the reading of engines then has a price, and prompts that are worth
 * less than it for the time that they take wait for a calmer moment.
 */
final class SendRule {
    /** Part of its own worth that others may lose by a request that is sent at once. */
    private static final double FREE_HARM = 0.25;

    /** Part of its own worth that others may lose by a request that would be late if it waited longer. */
    private static final double DUE_HARM = 0.4;

    /** Part of its own worth that others may lose by a request whose caller would leave if it waited longer. */
    private static final double LOST_HARM = 0.5;

    /** Reading takes this much longer than forecast when others come after it. */
    private static final double SLOWDOWN = 2;

    /** Worth that a second of an engine's reading serves when the engines are crowded. */
    private static final double CROWDED_WORTH_PER_SECOND = 2;

    /** Added to it for each second that each engine reads, since the reading is in the way of what comes meanwhile. */
    private static final double CROWDED_WORTH_PER_SQUARE_SECOND = 0.5;

    /** Reading that waits at each engine, on the mean, when they are crowded. */
    private static final double CROWDED_MS = 400;

    private static final double MS_PER_SECOND = 1_000;

    private SendRule() {}

    /** What to do with a request now. */
    enum Verdict {
        SEND,
        WAIT,
        /** It can't be read before its caller gives up. */
        REFUSE
    }

    /**
     * Decides on a request.
     *
     * @param waitingMs reading that waited at each engine lately, on the mean
     */
    static Verdict decide(ReadPlan plan, ReadPlanner.Wanted wanted, double waitingMs, double nowMs) {
        if (plan.doneMs() >= wanted.lostMs()) {
            return Verdict.REFUSE;
        }
        double crowded = Math.min(1, waitingMs / CROWDED_MS);
        double engineSeconds = plan.readMs() * (plan.readers().size() + 1) / MS_PER_SECOND;
        double price = CROWDED_WORTH_PER_SECOND + CROWDED_WORTH_PER_SQUARE_SECOND * plan.readMs() / MS_PER_SECOND;
        double harm = plan.harm() + engineSeconds * price * crowded;
        return harm <= allowedHarm(plan, wanted, nowMs) * wanted.worth() ? Verdict.SEND : Verdict.WAIT;
    }

    /** Part of the request's worth that others may lose by it: more when it can't wait any longer. */
    private static double allowedHarm(ReadPlan plan, ReadPlanner.Wanted wanted, double nowMs) {
        double neededMs = SLOWDOWN * (plan.doneMs() - nowMs);
        if (nowMs + neededMs >= wanted.lostMs()) {
            return LOST_HARM;
        }
        boolean mustStartForDue = nowMs + neededMs >= wanted.dueMs() && plan.doneMs() < wanted.dueMs();
        return mustStartForDue ? DUE_HARM : FREE_HARM;
    }
}
