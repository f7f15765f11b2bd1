package io.figspan.policy.placement;

import io.figspan.policy.placement.LoadView.EngineLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Length-aware placement. The cost of an engine is the number of tokens that it is expected to prefill until the first
 * token of the prompt; the cheapest engine is chosen among the home engines and a random sample of the others. Sampling
 * prevents hosts with the same stale load reports from all choosing the same engine. A share of the engines is reserved
 * for short prompts; all hosts reserve engines in the same order.
 *
 * @param sampleSize number of engines to compare for one prompt, besides the home engines
 * @param shortOnlyShare fraction of the engines that receive only short prompts
 * @param maxAheadRatio maximum number of queued tokens of unknown or greater prompt length that count as ahead of a
 *     prompt, as a multiple of its own length; the engine runs the prompt before the rest
 * @param shortReserveShare fraction of each engine's memory that long prompts must leave free
 * @param nonHomePenaltyTokens additional cost of an engine that is not a home engine of this host, because its load is
 *     known only with a delay
 */
public record LengthAwarePlacement(
        int sampleSize,
        double shortOnlyShare,
        double maxAheadRatio,
        double shortReserveShare,
        long nonHomePenaltyTokens) {
    public static final LengthAwarePlacement DEFAULT = new LengthAwarePlacement(20, 0, 0.3, 0.2, 16_384);

    /**
     * Chooses the engine for a prompt that fits on one engine.
     *
     * @param mayHavePrefix tells whether an engine may have cached the shared prefix
     * @return the cheapest of the home engines and the sample; empty if no engine has enough free memory
     */
    public Optional<EngineLoad> choose(
            PromptCost cost,
            LoadView view,
            Predicate<EngineLoad> mayHavePrefix,
            RandomGenerator random,
            long nowNanos) {
        List<EngineLoad> candidates = candidates(cost, view);
        EngineLoad best = null;
        long bestTokens = Long.MAX_VALUE;
        int sampled = 0;
        for (int i = 0; i < candidates.size(); i++) {
            int drawn = i + random.nextInt(candidates.size() - i);
            EngineLoad load = candidates.set(drawn, candidates.get(i));
            if (!load.home() && ++sampled > sampleSize) {
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

    /** Cost of sending the prompt to an engine: tokens to prefill until its first token, plus the non-home penalty. */
    public long costTokens(
            PromptCost cost, LoadView view, EngineLoad load, Predicate<EngineLoad> mayHavePrefix, long nowNanos) {
        boolean cached = cost.prefixTokens() > 0 && mayHavePrefix.test(load);
        long penalty = load.home() ? 0 : nonHomePenaltyTokens;
        return penalty + aheadTokens(cost, view, load, nowNanos) + cost.prefillTokens(cached);
    }

    /**
     * Tokens that the engine is expected to prefill before the prompt. The lengths of the prompts sent by this host are
     * known, so of these, only those that run first count in full. A load report does not distinguish short prompts
     * from longer ones, which run after the prompt, so its tokens count up to a bound of at least the chunk in
     * progress.
     */
    public long aheadTokens(PromptCost cost, LoadView view, EngineLoad load, long nowNanos) {
        long chunkTokens = view.speed().prefillChunkTokens();
        long maxOtherTokens = cost.isLong() ? (long) (cost.promptTokens() * maxAheadRatio) : chunkTokens;
        long ownAheadTokens = load.ownPendingTokens(Math.max(cost.promptTokens(), PromptCost.LONG_PROMPT_TOKENS));
        long otherTokens = load.ownPendingTokens() - ownAheadTokens + load.reportedBacklogTokens(nowNanos);
        return ownAheadTokens + Math.min(otherTokens, Math.max(chunkTokens, maxOtherTokens));
    }

    /** Engines with enough free memory for the prompt, without those reserved for short prompts if it is long. */
    public List<EngineLoad> candidates(PromptCost cost, LoadView view) {
        List<EngineLoad> fitting = new ArrayList<>(view.engines().size());
        long headroomTokens = Math.max(0, view.speed().kvTotalTokens() - cost.kvTokens());
        long reserve = cost.isLong() ? Math.min(reserveTokens(view), headroomTokens) : 0;
        for (EngineLoad load : view.engines()) {
            boolean eligible = !cost.isLong() || !isShortOnly(view, load);
            if (eligible && !load.leaving() && load.kvFreeTokens() >= cost.kvTokens() + reserve) {
                fitting.add(load);
            }
        }
        return fitting;
    }

    /** Memory of each engine that long prompts must leave free, unless they would then not fit on an idle engine. */
    public long reserveTokens(LoadView view) {
        return (long) (view.speed().kvTotalTokens() * shortReserveShare);
    }

    /** Tells whether an engine is reserved for short prompts. At least one engine always accepts long prompts. */
    public boolean isShortOnly(LoadView view, EngineLoad load) {
        int engines = view.engines().size();
        long shortOnlyCount = Math.min(Math.round(engines * shortOnlyShare), engines - 1L);
        return load.shortOnlyRank() < shortOnlyCount;
    }

    /** Engines that are not reserved for short prompts. */
    public List<EngineLoad> enginesForLongPrompts(LoadView view) {
        return view.engines().stream().filter(load -> !isShortOnly(view, load)).toList();
    }
}
