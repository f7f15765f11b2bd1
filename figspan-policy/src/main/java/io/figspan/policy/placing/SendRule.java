package io.figspan.policy.placing;

/**
 * Decides whether a request is sent now or waits for engines with less to do. An engine reads the latest part first, so
 * a long prompt that is sent into a crowd delays all that came before it. Answers load in which prompts that take
 * seconds to read arrive faster than they are read.
 */
final class SendRule {
    /** Part of its own worth that others may lose by a request that is sent at once. */
    private static final double FREE_HARM = 0.1;

    /** Part of a request's worth that is lost when it is late. */
    private static final double LATE_WORTH = 0.75;

    /** Reading takes this much longer than forecast when others come after it. */
    private static final double SLOWDOWN = 2;

    private SendRule() {}

    /**
     * Whether to send now.
     *
     * @param worth what the request's answer on time is worth
     * @param dueMs when its first token is late
     * @param lostMs when its caller has given up
     */
    static boolean sendsNow(ReadPlan plan, double worth, double dueMs, double lostMs, double nowMs) {
        if (plan.harm() <= FREE_HARM * worth) {
            return true;
        }
        double neededMs = SLOWDOWN * (plan.doneMs() - nowMs);
        boolean mustStartForDue = nowMs + neededMs >= dueMs && plan.doneMs() < dueMs;
        if (mustStartForDue && plan.harm() < LATE_WORTH * worth) {
            return true;
        }
        return nowMs + neededMs >= lostMs;
    }
}
