package io.figspan.policy.placing;

import io.figspan.policy.engine.EngineSimulation;
import io.figspan.policy.engine.EngineSimulation.RequestTraits;
import io.figspan.policy.engine.LatenessLoss;
import io.figspan.policy.engine.PrefillShare;
import io.figspan.policy.placing.ReadPlan.Reader;
import java.util.List;
import java.util.Optional;

/** Enters work at several engines into their simulations, and takes it out again. */
final class SeatWork {
    private SeatWork() {}

    /** A prompt was sent to an engine and its helpers. */
    static void add(
            long key, EngineSeat first, List<Reader> readers, double promptTokens, RequestTraits traits, double nowMs) {
        PrefillShare share = PrefillShare.of(promptTokens, readers.size() + 1);
        double othersReadyMs = nowMs;
        for (Reader reader : readers) {
            EngineSimulation simulation = reader.seat().simulation();
            othersReadyMs = Math.max(
                    othersReadyMs,
                    simulation
                            .forecast(share, Optional.empty(), LatenessLoss.DEFAULT, 0, nowMs)
                            .doneMs());
            simulation.addPart(key, traits, share, nowMs);
            if (reader.heldTokens() > 0) {
                reader.seat().hold(key, reader.heldTokens());
            }
        }
        first.simulation().addRequest(key, traits, share, othersReadyMs, nowMs);
    }

    /** The request of a prompt is no longer at its engines. */
    static void remove(long key, EngineSeat first, List<Reader> readers, double nowMs) {
        first.simulation().remove(key, nowMs);
        for (Reader reader : readers) {
            reader.seat().simulation().remove(key, nowMs);
            reader.seat().releaseHold(key);
        }
    }
}
