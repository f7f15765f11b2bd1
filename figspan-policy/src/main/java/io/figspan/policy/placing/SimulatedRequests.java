package io.figspan.policy.placing;

import io.figspan.policy.engine.EngineSimulation;
import io.figspan.policy.engine.EngineSimulation.RequestTraits;
import io.figspan.policy.engine.LatenessLoss;
import io.figspan.policy.engine.PrefillShare;
import io.figspan.policy.placing.PrefillPlan.Helper;
import java.util.List;
import java.util.Optional;

/** Adds requests that several engines serve together to the simulations of these engines, and removes them. */
final class SimulatedRequests {
    private SimulatedRequests() {}

    /** Adds a prompt that was sent to its primary engine and helpers, with the memory that the helpers hold. */
    static void add(
            long key,
            EngineState primary,
            List<Helper> helpers,
            double promptTokens,
            RequestTraits traits,
            double nowMs) {
        PrefillShare share = PrefillShare.of(promptTokens, helpers.size() + 1);
        double helpersReadyMs = nowMs;
        for (Helper helper : helpers) {
            EngineSimulation simulation = helper.engine().simulation();
            helpersReadyMs = Math.max(
                    helpersReadyMs,
                    simulation
                            .forecast(share, Optional.empty(), LatenessLoss.DEFAULT, 0, nowMs)
                            .doneMs());
            simulation.addHelperShare(key, traits, share, nowMs);
            if (helper.heldTokens() > 0) {
                helper.engine().hold(key, helper.heldTokens());
            }
        }
        primary.simulation().addRequest(key, traits, share, helpersReadyMs, nowMs);
    }

    /** Adds a request that goes on at its engine after a silence; nothing is known of how far its prefill is. */
    static void addResumed(PlacedJob job, double nowMs) {
        job.helpers.stream().filter(helper -> helper.heldTokens() > 0).forEach(helper -> helper.engine()
                .hold(job.key, helper.heldTokens()));
        double generatedTokens = (double) job.generatedTokens;
        job.primary.simulation().addDecodingRequest(job.key, job.traits, generatedTokens, nowMs);
    }

    /** Removes a request from its engines and releases the memory that the helpers held. */
    static void remove(long key, EngineState primary, List<Helper> helpers, double nowMs) {
        primary.simulation().remove(key, nowMs);
        for (Helper helper : helpers) {
            helper.engine().simulation().remove(key, nowMs);
            helper.engine().releaseHold(key);
        }
    }
}
