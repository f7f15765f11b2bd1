package io.figspan.bench.policy;

import io.figspan.policy.placement.PlacementPolicy;

/** Policies that are compared in one run. */
enum Scheme {
    ROUND_ROBIN(PlacementPolicy.ROUND_ROBIN),
    FEWEST_OUTSTANDING(PlacementPolicy.FEWEST_OUTSTANDING),
    /** The whole of the current policy: limits, admission, queueing, placement and priorities. */
    CURRENT(PlacementPolicy.LENGTH_AWARE);

    private final PlacementPolicy placement;

    Scheme(PlacementPolicy placement) {
        this.placement = placement;
    }

    PlacementPolicy placement() {
        return placement;
    }
}
