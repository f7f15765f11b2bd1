package io.figspan.policy.drain;

import io.figspan.policy.placing.PromptLengths;
import java.util.Optional;

/**
 * What is known about the duration of a request before it runs.
 *
 * @param route name of the route
 * @param prompt token counts of the prompt; empty when the request has none
 * @param mayRepeat whether the caller may repeat the request if it gets no answer
 * @param timeoutMs maximum time that a request of the route may take
 */
public record RequestProfile(String route, Optional<PromptLengths> prompt, boolean mayRepeat, long timeoutMs) {
    private static final long TOKENS_READ_PER_TOKEN_WRITTEN = 10;

    /** Size class of the prompt, one for each power of two; 0 without a prompt. */
    int sizeClass() {
        return prompt.map(RequestProfile::sizeTokens)
                .map(tokens -> Long.SIZE - Long.numberOfLeadingZeros(tokens))
                .orElse(0);
    }

    private static long sizeTokens(PromptLengths lengths) {
        long outputTokens = lengths.expectedOutputTokens().isPresent()
                ? lengths.expectedOutputTokens().getAsInt()
                : lengths.maxOutputTokens();
        return Math.max(1, lengths.promptTokens() + TOKENS_READ_PER_TOKEN_WRITTEN * outputTokens);
    }
}
