package io.figspan.policy.placing;

import io.figspan.core.work.PlacedRequest;
import java.util.Optional;

/**
 * What an answer on time is worth beside others. Callers do not say; longer prompts take more of the caller's own work
 * and are asked for less often, so the worth grows with the prompt.
 */
final class JobWorth {
    /** Prompt tokens that add as much worth as any answer has. */
    private static final double TOKENS_PER_WORTH = 8_000;

    private JobWorth() {}

    static double of(Optional<PromptShape> prompt) {
        return of(prompt.map(PromptShape::promptTokens).orElse(0L));
    }

    static double of(PlacedRequest work) {
        return of(work.promptTokens());
    }

    private static double of(long promptTokens) {
        return 1 + promptTokens / TOKENS_PER_WORTH;
    }
}
