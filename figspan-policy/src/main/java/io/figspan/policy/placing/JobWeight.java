package io.figspan.policy.placing;

import io.figspan.core.work.PlacedRequest;
import java.util.Optional;

/**
 * Estimates the scheduling weight of a request, the value of an answer on time relative to that of other requests.
 * Callers don't state it. Longer prompts represent more of the caller's own work and are sent less often, so the weight
 * grows linearly with the prompt length.
 */
final class JobWeight {
    /** Prompt tokens that add 1 to the base weight of 1. */
    private static final double TOKENS_PER_UNIT_WEIGHT = 8_000;

    private JobWeight() {}

    static double of(Optional<PromptLengths> prompt) {
        return of(prompt.map(PromptLengths::promptTokens).orElse(0L));
    }

    static double of(PlacedRequest work) {
        return of(work.promptTokens());
    }

    private static double of(long promptTokens) {
        return 1 + promptTokens / TOKENS_PER_UNIT_WEIGHT;
    }
}
