package io.figspan.policy.placement;

import io.figspan.core.util.RendezvousHash;
import io.figspan.policy.placement.LoadView.RunnerLoad;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Length-aware placement by cost in prefill tokens of backlog. Short prompts take the cheapest of a few sampled
 * runners, so that hosts with the same stale reports do not all choose the same one. Long prompts stay off a share of
 * the runners; the order in which runners are kept free is the same on each host.
 *
 * @param samples runners to compare for one prompt
 * @param keptFreeShare share of the runners that get no long prompt
 */
public record LengthAwarePlacement(int samples, double keptFreeShare) {
    public static final LengthAwarePlacement DEFAULT = new LengthAwarePlacement(4, 0.2);

    private static final String KEPT_FREE_KEY = "kept-free";

    /** Chooses a runner for a prompt that fits on one engine; empty when no runner has the memory. */
    public Optional<RunnerLoad> choose(PromptCost cost, LoadView view, RandomGenerator random, long nowNanos) {
        List<RunnerLoad> candidates = candidates(cost, view);
        RunnerLoad best = null;
        long bestTokens = Long.MAX_VALUE;
        int draws = Math.min(samples, candidates.size());
        for (int i = 0; i < draws; i++) {
            int drawn = i + random.nextInt(candidates.size() - i);
            RunnerLoad load = candidates.set(drawn, candidates.get(i));
            long tokens = costTokens(cost, load, nowNanos);
            if (tokens < bestTokens) {
                best = load;
                bestTokens = tokens;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Tokens to process until the first token of the prompt if it goes to this runner. */
    public long costTokens(PromptCost cost, RunnerLoad load, long nowNanos) {
        boolean cached = cost.prefixTokens() > 0 && load.mayHavePrefix(cost.prefixHash());
        return load.backlogTokens(nowNanos) + cost.prefillTokens(cached);
    }

    /** Tokens that the engine is expected to process before the prompt. */
    public long aheadTokens(PromptCost cost, RunnerLoad load, long nowNanos) {
        return load.backlogTokens(nowNanos);
    }

    /** Runners that may take the prompt: with the memory for it and, for long prompts, not kept free. */
    public List<RunnerLoad> candidates(PromptCost cost, LoadView view) {
        List<RunnerLoad> fitting = new ArrayList<>();
        for (RunnerLoad load : cost.isLong() ? openToLongPrompts(view) : view.runners()) {
            if (!load.leaving() && load.kvFreeTokens() >= cost.kvTokens()) {
                fitting.add(load);
            }
        }
        return fitting;
    }

    /** Runners that are not kept free. At least one is left. */
    public List<RunnerLoad> openToLongPrompts(LoadView view) {
        List<RunnerLoad> ordered = new ArrayList<>(view.runners());
        ordered.sort(Comparator.comparingLong(
                load -> RendezvousHash.weight(KEPT_FREE_KEY, load.server().value())));
        int keptFree = (int) Math.round(ordered.size() * keptFreeShare);
        return ordered.subList(Math.min(keptFree, Math.max(0, ordered.size() - 1)), ordered.size());
    }
}
