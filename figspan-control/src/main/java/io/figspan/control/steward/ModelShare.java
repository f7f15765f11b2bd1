package io.figspan.control.steward;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.ModelId;
import java.util.List;

/**
 * Settings of one model.
 *
 * @param share weight of this model in the allocation of engines, relative to the other models' shares
 * @param prefillShare fraction of this model's engines, 0 to 1, that only prefill
 * @param additionalModels adapters and further versions that the engines of this model load in addition
 */
public record ModelShare(ModelId model, double share, double prefillShare, List<ModelId> additionalModels) {
    public ModelShare {
        boolean valid = share >= 0 && Double.isFinite(share) && prefillShare >= 0 && prefillShare <= 1;
        if (!valid) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE,
                    "share must be at least 0 and prefillShare between 0 and 1",
                    Location.of("models." + model));
        }
        additionalModels = List.copyOf(additionalModels);
    }

    public static ModelShare of(String model, double share) {
        return new ModelShare(ModelId.of(model), share, 0, List.of());
    }
}
