package io.figspan.policy.placing;

import io.figspan.core.work.PrefillReader;
import java.util.List;

/**
 * One way to serve a request: the primary engine, which runs it, and the helpers, which prefill shares of its prompt.
 *
 * @param helpers those that hold memory for the request come first
 * @param prefillMs prefill time of the share of each engine, without queueing
 * @param doneMs forecast time at which the last share is prefilled
 * @param lossToOthers expected loss of other requests, in units of weight
 * @param totalLoss expected loss of the request itself and of others
 */
record PrefillPlan(
        EngineState primary,
        List<Helper> helpers,
        double prefillMs,
        double doneMs,
        double lossToOthers,
        double totalLoss) {
    PrefillPlan {
        helpers = List.copyOf(helpers);
    }

    /** An engine that prefills a share of the prompt, and the memory that it holds for the request. */
    record Helper(EngineState engine, long heldTokens) {
        PrefillReader toPrefillReader() {
            return new PrefillReader(engine.id(), heldTokens);
        }
    }

    /** Tokens of the request that the helpers hold in memory. */
    long heldElsewhereTokens() {
        return helpers.stream().mapToLong(Helper::heldTokens).sum();
    }
}
