package io.figspan.standin.engine;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;

/**
 * Options of one stand-in engine.
 *
 * @param memoryTokens KV memory
 * @param prefillTokensPerStep prefill budget of one batch step, shared by all prompts in the batch
 * @param stepMs wall-clock time of one batch step; each running stream generates one token per step
 * @param reportLagMs age that a load report may reach before it is refreshed
 * @param checksFencingTokens whether a model order with an older fencing token is refused
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
    /** Memory of one engine: a prompt of a million tokens needs three. */
    public static final long DEFAULT_MEMORY_TOKENS = 400_000;

    /** Prefill budget per step: 400,000 tokens per second, so that a million tokens take 2.5 s. */
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
