package io.figspan.control.steward;

import io.figspan.core.id.ModelId;
import java.util.List;

/** Planned state of one engine: its model, the models to load in addition, and its role. */
public record Assignment(ModelId model, List<ModelId> additionalModels, EngineRole role) {
    public Assignment {
        additionalModels = List.copyOf(additionalModels);
    }

    public boolean needs(ModelId candidate) {
        return model.equals(candidate) || additionalModels.contains(candidate);
    }
}
