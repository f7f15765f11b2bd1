package io.figspan.settings;

import io.figspan.core.id.ModelId;

/**
 * A model that the engines of the fleet serve.
 *
 * @param share fraction of the engines that load the model, from 0 to 1
 * @param version version of the weights
 * @param sizeMegabytes size of the weights in megabytes; with the rate of the weight store it gives the loading time
 */
public record ModelSetting(ModelId model, double share, String version, long sizeMegabytes) {
    /** Size in megabytes if the settings omit it: the weights of 50 billion parameters at two bytes each. */
    public static final long DEFAULT_SIZE_MEGABYTES = 100_000;

    @Override
    public String toString() {
        return model + "@" + version + " share " + share;
    }
}
