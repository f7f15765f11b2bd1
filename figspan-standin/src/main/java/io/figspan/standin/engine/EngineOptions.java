package io.figspan.standin.engine;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;

/**
 * Configuration of one stand-in engine.
 *
 * @param memoryTokens capacity of the KV cache in tokens
 * @param prefillTokensPerStep prefill budget of one batch step in tokens, shared by all prompts in the batch
 * @param stepMs wall-clock time of one batch step; each decoding stream generates one token per step
 * @param reportLagMs maximum age of a load report before it is rebuilt
 * @param checksFencingTokens whether a model order is refused if its fencing token is older than the highest received
 */
public record EngineOptions(
        BackendServerId server,
        AvailabilityZoneId availabilityZone,
        String model,
        long memoryTokens,
        int prefillTokensPerStep,
        int stepMs,
        int reportLagMs,
        boolean checksFencingTokens) {
    /** KV cache capacity of one engine. A prompt of a million tokens needs three engines. */
    public static final long DEFAULT_MEMORY_TOKENS = 400_000;

    /** Prefill budget per step. With the default step this is 400,000 tokens/s, so a million tokens take 2.5 s. */
    public static final int DEFAULT_PREFILL_TOKENS_PER_STEP = 2_000;

    public static final int DEFAULT_STEP_MS = 5;

    public static final int DEFAULT_REPORT_LAG_MS = 500;

    public static EngineOptions of(String server, String availabilityZone, String model) {
        return new EngineOptions(
                BackendServerId.of(server),
                AvailabilityZoneId.of(availabilityZone),
                model,
                DEFAULT_MEMORY_TOKENS,
                DEFAULT_PREFILL_TOKENS_PER_STEP,
                DEFAULT_STEP_MS,
                DEFAULT_REPORT_LAG_MS,
                true);
    }

    public EngineOptions withChecksFencingTokens(boolean newChecksFencingTokens) {
        return new EngineOptions(
                server,
                availabilityZone,
                model,
                memoryTokens,
                prefillTokensPerStep,
                stepMs,
                reportLagMs,
                newChecksFencingTokens);
    }
}
