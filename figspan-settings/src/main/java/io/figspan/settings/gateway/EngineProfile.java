package io.figspan.settings.gateway;

/**
 * Performance model of a model engine. The engine schedules batches in passes: a pass with decoding requests has {@code
 * decodeStepsPerPass} steps, and a pass may prefill up to {@code chunkTokens} prompt tokens.
 *
 * @param slots maximum number of concurrent requests
 * @param memoryTokens capacity of the KV cache in tokens
 * @param decodeStepsPerPass steps of a pass with decoding requests; each of them generates one token per step
 * @param stepMs fixed duration of a step
 * @param stepMsPerDecodingRequest additional duration of a step for each decoding request
 * @param stepMsPerThousandContextTokens additional duration of a step for each 1,000 context tokens of the decoding
 *     requests
 * @param prefillTokensPerMs prefill rate in prompt tokens per millisecond, excluding the time for pairs
 * @param prefillMsPerMillionPairs additional prefill time for each million pairs of a prompt token and an earlier one
 * @param chunkTokens maximum number of prompt tokens prefilled in one pass
 * @param reportLagMs delay of the load reports of an engine
 * @param hopMs additional duration of a step for a request whose KV cache is spread over several engines
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        int decodeStepsPerPass,
        double stepMs,
        double stepMsPerDecodingRequest,
        double stepMsPerThousandContextTokens,
        double prefillTokensPerMs,
        double prefillMsPerMillionPairs,
        int chunkTokens,
        double reportLagMs,
        double hopMs) {
    public EngineProfile {
        slots = Math.max(1, slots);
        decodeStepsPerPass = Math.max(1, decodeStepsPerPass);
        chunkTokens = Math.max(1, chunkTokens);
        prefillTokensPerMs = prefillTokensPerMs > 0 ? prefillTokensPerMs : Double.MAX_VALUE;
    }
}
