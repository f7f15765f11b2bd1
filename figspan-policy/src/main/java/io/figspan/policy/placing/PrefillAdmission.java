package io.figspan.policy.placing;

/**
 * Admission control for prefill: decides whether a request is sent now, stays queued until the load drops, or is
 * refused. An engine prefills the latest share first, so a long prompt that is sent under high load delays all earlier
 * ones. Designed for loads in which prompts that take seconds to prefill arrive faster than they are prefilled. Engine
 * time then has an opportunity cost, and prompts whose weight doesn't cover the cost of their prefill stay queued.
 */
final class PrefillAdmission {
    /** Loss that a request may cause to others, as a fraction of its own weight, while it can still wait. */
    private static final double BASE_LOSS_RATIO = 0.25;

    /** The same for a request that would be late if it waited longer. */
    private static final double DUE_LOSS_RATIO = 0.4;

    /** The same for a request whose caller would give up if it waited longer. */
    private static final double ABANDON_LOSS_RATIO = 0.5;

    /** Prefill takes up to this many times the forecast, since requests that come later delay it. */
    private static final double FORECAST_MARGIN = 2;

    /** Opportunity cost of one second of prefill on one engine at saturation, in units of weight. */
    private static final double SATURATED_COST_PER_SECOND = 2;

    /** Added to the cost for each second of prefill per engine, which blocks requests that arrive meanwhile. */
    private static final double SATURATED_COST_PER_SQUARE_SECOND = 0.5;

    /** Mean prefill backlog per engine from which on the engines count as saturated. */
    private static final double SATURATED_BACKLOG_MS = 400;

    private static final double MS_PER_SECOND = 1_000;

    private PrefillAdmission() {}

    enum Decision {
        SEND,
        WAIT,
        /** The request would be sent if its organisation had no more than its share of the engines' work. */
        HOLD_BACK,
        /** The prefill can't finish before the caller gives up. */
        REFUSE
    }

    /** Whether an organisation beyond its share must leave the free slots to others that wait with less. */
    static boolean leavesSlotsToOthers(FairShare share, int freeSlots) {
        return share.isExceeded() && freeSlots > 0 && freeSlots <= share.slotsAwaited();
    }

    /**
     * Decides on a request, given the best plan for it.
     *
     * @param meanBacklogMs recent mean prefill backlog per engine
     * @param share what the organisation of the request has of the engines' work
     */
    static Decision decide(
            PrefillPlan plan,
            PrefillPlanner.PrefillRequest request,
            double meanBacklogMs,
            FairShare share,
            double nowMs) {
        if (plan.doneMs() >= request.abandonMs()) {
            return Decision.REFUSE;
        }
        double saturation = Math.min(1, meanBacklogMs / SATURATED_BACKLOG_MS);
        double engineSeconds = plan.prefillMs() * (plan.helpers().size() + 1) / MS_PER_SECOND;
        double costPerSecond =
                SATURATED_COST_PER_SECOND + SATURATED_COST_PER_SQUARE_SECOND * plan.prefillMs() / MS_PER_SECOND;
        double lossToOthers = plan.lossToOthers() + engineSeconds * costPerSecond * saturation;
        double allowedLoss = allowedLossRatio(plan, request, nowMs) * request.weight();
        if (lossToOthers > allowedLoss) {
            return Decision.WAIT;
        }
        return lossToOthers * share.penalty() <= allowedLoss ? Decision.SEND : Decision.HOLD_BACK;
    }

    /** Returns the loss to others that is accepted, as a fraction of the request's weight. */
    private static double allowedLossRatio(PrefillPlan plan, PrefillPlanner.PrefillRequest request, double nowMs) {
        double neededMs = FORECAST_MARGIN * (plan.doneMs() - nowMs);
        if (nowMs + neededMs >= request.abandonMs()) {
            return ABANDON_LOSS_RATIO;
        }
        boolean mustStartToMeetDue = nowMs + neededMs >= request.dueMs() && plan.doneMs() < request.dueMs();
        return mustStartToMeetDue ? DUE_LOSS_RATIO : BASE_LOSS_RATIO;
    }
}
