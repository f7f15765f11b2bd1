package io.figspan.control.steward;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.ModelId;
import java.util.Set;

/**
 * What one engine says about itself.
 *
 * @param loaded models, versions and adapters in its memory
 * @param loading those on their way from the weight store
 * @param freeSlots further models that fit into its memory
 * @param honoursFencing the settings say that this engine refuses an order with an old fencing token
 * @param atNanos when this host received the report
 */
public record EngineReport(
        BackendIncarnation engine,
        Set<ModelId> loaded,
        Set<ModelId> loading,
        EngineRole role,
        int freeSlots,
        boolean honoursFencing,
        long atNanos) {
    public EngineReport {
        loaded = Set.copyOf(loaded);
        loading = Set.copyOf(loading);
    }
}
