package io.figspan.settings.gateway;

/**
 * How a model engine works through its requests. It runs passes: a pass with requests that write has {@code
 * strideSteps} steps and may read up to {@code chunkTokens} prompt tokens.
 *
 * @param slots requests in progress at once
 * @param memoryTokens tokens of context that fit into its memory
 * @param strideSteps steps of a pass in which requests write, one token a step for each of them
 * @param stepMs fixed time of a step
 * @param stepMsPerWriter added time of a step for each request that writes
 * @param stepMsPerThousandContextTokens added time of a step for each 1,000 tokens of context of those requests
 * @param readTokensPerMs prompt tokens read in a millisecond
 * @param readMsPerMillionPairs added time for each million pairs of a prompt token and one before it
 * @param chunkTokens most prompt tokens read in one pass
 * @param reportLagMs age of what an engine reports
 * @param hopMs added time of a step for a request whose context is spread over several engines
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        int strideSteps,
        double stepMs,
        double stepMsPerWriter,
        double stepMsPerThousandContextTokens,
        double readTokensPerMs,
        double readMsPerMillionPairs,
        int chunkTokens,
        double reportLagMs,
        double hopMs) {
    public EngineProfile {
        slots = Math.max(1, slots);
        strideSteps = Math.max(1, strideSteps);
        chunkTokens = Math.max(1, chunkTokens);
        readTokensPerMs = readTokensPerMs > 0 ? readTokensPerMs : Double.MAX_VALUE;
    }
}
