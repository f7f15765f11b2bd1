package io.figspan.policy.placing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Preselects the engines that are evaluated for a short prompt: those with the least load, and on which the prompt
 * hinders long prompts the least. Designed for loads in which most requests are short, where evaluating every engine
 * for each of them would cost processor time without a better choice.
 */
final class Shortlist {
    /** Large enough to include engines that are better than the approximate order tells. */
    static final int MAX_ENGINES = 8;

    /** Prefill backlog equivalent to one decoding request, which lengthens each pass. */
    private static final double PREFILL_MS_PER_DECODING_REQUEST = 20;

    /** Prefill backlog equivalent to the loss of an answer of weight 1. */
    private static final double PREFILL_MS_PER_LOSS = 1_000;

    /** An engine with its load, in milliseconds of equivalent prefill. */
    private record RankedEngine(EngineState engine, double loadMs) {}

    private Shortlist() {}

    /**
     * Returns up to {@link #MAX_ENGINES} engines with the least load, the best first.
     *
     * @param tighterGapLoss loss charged when the request tightens the gap limit of an engine, 0 otherwise
     */
    static List<EngineState> of(Collection<EngineState> engines, ToDoubleFunction<EngineState> tighterGapLoss) {
        return of(engines, tighterGapLoss, engine -> 0);
    }

    /**
     * Returns up to {@link #MAX_ENGINES} engines with the least load, the best first.
     *
     * @param tighterGapLoss loss charged when the request tightens the gap limit of an engine, 0 otherwise
     * @param savedMs prefill of the request that an engine is expected to save
     */
    static List<EngineState> of(
            Collection<EngineState> engines,
            ToDoubleFunction<EngineState> tighterGapLoss,
            ToDoubleFunction<EngineState> savedMs) {
        List<RankedEngine> ranked = new ArrayList<>();
        for (EngineState engine : engines) {
            double lossMs = PREFILL_MS_PER_LOSS * tighterGapLoss.applyAsDouble(engine);
            ranked.add(new RankedEngine(engine, loadMs(engine) + lossMs - savedMs.applyAsDouble(engine)));
        }
        ranked.sort(Comparator.comparingDouble(RankedEngine::loadMs));
        return ranked.stream().limit(MAX_ENGINES).map(RankedEngine::engine).toList();
    }

    private static double loadMs(EngineState engine) {
        return engine.simulation().prefillBacklogMs()
                + PREFILL_MS_PER_DECODING_REQUEST * engine.simulation().decodingRequests();
    }
}
