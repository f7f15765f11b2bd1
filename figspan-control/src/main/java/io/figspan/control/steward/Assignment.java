package io.figspan.control.steward;

import io.figspan.core.id.ModelId;
import java.util.List;

/** What one engine should have: its model, what it loads besides, and its role. */
public record Assignment(ModelId model, List<ModelId> additionalModels, EngineRole role) {
    public Assignment {
        additionalModels = List.copyOf(additionalModels);
    }

    public boolean needs(ModelId loaded) {
        return model.equals(loaded) || additionalModels.contains(loaded);
    }
}
