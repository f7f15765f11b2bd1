package io.figspan.settings;

import io.figspan.core.id.ModelId;

/**
 * A model that the engines of the fleet serve.
 *
 * @param share share of the engines that load it, from 0 to 1
 * @param version version of the weights
 * @param sizeMegabytes size of the weights, which the rate of the weight store is divided by
 */
public record ModelSetting(ModelId model, double share, String version, long sizeMegabytes) {
    /** Size assumed when the settings give none: weights of 50 billion parameters at two bytes each. */
    public static final long DEFAULT_SIZE_MEGABYTES = 100_000;

    @Override
    public String toString() {
        return model + "@" + version + " share " + share;
    }
}
