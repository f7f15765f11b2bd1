package io.figspan.policy.placement;

import io.figspan.policy.placement.LoadView.EngineLoad;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Policies that choose the engine for a prompt that fits on one engine. */
public enum PlacementPolicy {
    /** Chooses the engines in turn, regardless of their load. */
    ROUND_ROBIN {
        @Override
        public Optional<EngineLoad> choose(PromptCost cost, LoadView view, RandomGenerator random, long nowNanos) {
            List<EngineLoad> loads = view.engines();
            for (int tries = 0; tries < loads.size(); tries++) {
                EngineLoad load = loads.get(view.nextRoundRobin());
                if (!load.leaving()) {
                    return Optional.of(load);
                }
            }
            return Optional.empty();
        }
    },

    /** Chooses the engine with the fewest outstanding requests of this host; ties are broken at random. */
    FEWEST_OUTSTANDING {
        @Override
        public Optional<EngineLoad> choose(PromptCost cost, LoadView view, RandomGenerator random, long nowNanos) {
            EngineLoad best = null;
            int ties = 0;
            for (EngineLoad load : view.engines()) {
                if (load.leaving() || (best != null && load.outstanding() > best.outstanding())) {
                    continue;
                }
                boolean better = best == null || load.outstanding() < best.outstanding();
                ties = better ? 1 : ties + 1;
                if (better || random.nextInt(ties) == 0) {
                    best = load;
                }
            }
            return Optional.ofNullable(best);
        }
    },

    /** Chooses by predicted prefill cost; see {@link LengthAwarePlacement}. */
    LENGTH_AWARE {
        @Override
        public Optional<EngineLoad> choose(PromptCost cost, LoadView view, RandomGenerator random, long nowNanos) {
            return LengthAwarePlacement.DEFAULT.choose(
                    cost, view, load -> load.mayHavePrefix(cost.prefixHash()), random, nowNanos);
        }
    };

    /** Chooses an engine; empty if none can accept the prompt now. */
    public abstract Optional<EngineLoad> choose(PromptCost cost, LoadView view, RandomGenerator random, long nowNanos);
}
