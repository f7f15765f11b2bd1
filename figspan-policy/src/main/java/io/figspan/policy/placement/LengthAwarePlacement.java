package io.figspan.policy.placement;

import io.figspan.policy.placement.LoadView.EngineLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Length-aware placement by cost in prefill tokens of backlog. Short prompts take the cheapest of a few sampled
 * runners, so that hosts with the same stale reports do not all choose the same one. Long prompts stay off a share of
 * the runners; the order in which runners are kept free is the same on each host.
 *
 * @param samples runners to compare for one prompt
 * @param keptFreeShare share of the runners that get no long prompt
 * @param maxAheadRatio tokens queued on a runner, of any length, that count as ahead of a prompt, as a part of its own
 *     length; the prompt overtakes the others
 * @param shortReserveShare part of each engine's memory that no long prompt may take
 * @param nonHomePenaltyTokens what a runner that is not a home of this host costs more, because its load is known only with a lag
 */
public record LengthAwarePlacement(
        int samples, double keptFreeShare, double maxAheadRatio, double shortReserveShare, long nonHomePenaltyTokens) {
    public static final LengthAwarePlacement DEFAULT = new LengthAwarePlacement(20, 0, 0.3, 0.2, 16_384);

    /**
     * Chooses a runner for a prompt that fits on one engine: the cheapest of the home runners and of a sample of the
     * others; empty when no runner has the memory.
     *
     * @param mayHavePrefix tells whether a runner may have the shared prefix cached
     */
    public Optional<EngineLoad> choose(
            PromptCost cost, LoadView view, Predicate<EngineLoad> mayHavePrefix, RandomGenerator random, long nowNanos) {
        List<EngineLoad> candidates = candidates(cost, view);
        EngineLoad best = null;
        long bestTokens = Long.MAX_VALUE;
        int draws = 0;
        for (int i = 0; i < candidates.size(); i++) {
            int drawn = i + random.nextInt(candidates.size() - i);
            EngineLoad load = candidates.set(drawn, candidates.get(i));
            if (!load.home() && ++draws > samples) {
                continue;
            }
            long tokens = costTokens(cost, view, load, mayHavePrefix, nowNanos);
            if (tokens < bestTokens) {
                best = load;
                bestTokens = tokens;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Tokens to process until the first token of the prompt if it goes to this runner. */
    public long costTokens(
            PromptCost cost, LoadView view, EngineLoad load, Predicate<EngineLoad> mayHavePrefix, long nowNanos) {
        boolean cached = cost.prefixTokens() > 0 && mayHavePrefix.test(load);
        long away = load.home() ? 0 : nonHomePenaltyTokens;
        return away + aheadTokens(cost, view, load, nowNanos) + cost.prefillTokens(cached);
    }

    /**
     * Tokens that the engine is expected to process before the prompt. What this host has sent is known by length, so
     * only prompts that go first count. A report does not tell short prompts from long ones, which the prompt
     * overtakes, so it counts up to a bound of at least the chunk in progress.
     */
    public long aheadTokens(PromptCost cost, LoadView view, EngineLoad load, long nowNanos) {
        long chunkTokens = view.speed().prefillChunkTokens();
        long notOvertaken = cost.isLong() ? (long) (cost.promptTokens() * maxAheadRatio) : chunkTokens;
        long goingFirst = load.ownPendingTokens(Math.max(cost.promptTokens(), PromptCost.LONG_PROMPT_TOKENS));
        long others = load.ownPendingTokens() - goingFirst + load.reportedBacklogTokens(nowNanos);
        return goingFirst + Math.min(others, Math.max(chunkTokens, notOvertaken));
    }

    /** Runners that may take the prompt: with the memory for it and, for long prompts, not kept free. */
    public List<EngineLoad> candidates(PromptCost cost, LoadView view) {
        List<EngineLoad> fitting = new ArrayList<>(view.engines().size());
        long roomTokens = Math.max(0, view.speed().kvTotalTokens() - cost.kvTokens());
        long reserve = cost.isLong() ? Math.min(reserveTokens(view), roomTokens) : 0;
        for (EngineLoad load : view.engines()) {
            boolean open = !cost.isLong() || !isKeptFree(view, load);
            if (open && !load.leaving() && load.kvFreeTokens() >= cost.kvTokens() + reserve) {
                fitting.add(load);
            }
        }
        return fitting;
    }

    /** Memory of each engine that is left to short prompts, as far as the long prompt fits beside it. */
    public long reserveTokens(LoadView view) {
        return (long) (view.speed().kvTotalTokens() * shortReserveShare);
    }

    /** Tells whether a runner gets no long prompts. At least one runner gets them. */
    public boolean isKeptFree(LoadView view, EngineLoad load) {
        int runners = view.engines().size();
        long keptFree = Math.min(Math.round(runners * keptFreeShare), runners - 1L);
        return load.keptFreeRank() < keptFree;
    }

    /** Runners that are not kept free. */
    public List<EngineLoad> enginesForLongPrompts(LoadView view) {
        return view.engines().stream().filter(load -> !isKeptFree(view, load)).toList();
    }
}
