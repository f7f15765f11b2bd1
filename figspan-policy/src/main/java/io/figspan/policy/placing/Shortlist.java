package io.figspan.policy.placing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The engines that are weighed for a prompt that one engine reads quickly: those with the least in its way, and at
 * which it is the least in the way of long prompts. Answers load in which most requests are short, so that weighing
 * each engine for each of them would take the host's processor without a better choice.
 */
final class Shortlist {
    /** Enough that some of them are good in ways that the order doesn't show. */
    static final int MAX_ENGINES = 8;

    /** What a request that writes counts beside reading, as it makes each pass longer. */
    private static final double READING_MS_PER_WRITER = 20;

    /** Reading that is as bad as the loss of an answer. */
    private static final double READING_MS_PER_LOSS = 1_000;

    /** An engine with what is in the way there. */
    private record Rated(EngineSeat engine, double busyMs) {}

    private Shortlist() {}

    /**
     * The engines at which a request would meet the least reading and writing, the best first.
     *
     * @param openingLoss worth that is lost when an engine gets its first request of short pauses
     */
    static List<EngineSeat> of(Collection<EngineSeat> engines, ToDoubleFunction<EngineSeat> openingLoss) {
        List<Rated> rated = new ArrayList<>();
        for (EngineSeat engine : engines) {
            double lossMs = READING_MS_PER_LOSS * openingLoss.applyAsDouble(engine);
            rated.add(new Rated(engine, busyMs(engine) + lossMs));
        }
        rated.sort(Comparator.comparingDouble(Rated::busyMs));
        return rated.stream().limit(MAX_ENGINES).map(Rated::engine).toList();
    }

    private static double busyMs(EngineSeat engine) {
        return engine.simulation().readingMs()
                + READING_MS_PER_WRITER * engine.simulation().writers();
    }
}
