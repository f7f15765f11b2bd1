package io.figspan.control.steward;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.ModelId;
import java.util.Set;

/**
 * State of one engine, as it reports it.
 *
 * @param loaded models, model versions and adapters in its memory
 * @param loading those being loaded from the weight store
 * @param freeSlots number of further models that fit into its memory
 * @param honoursFencing whether, by the settings, the engine refuses orders with an outdated fencing token
 * @param atNanos monotonic time at which this host received the report
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
