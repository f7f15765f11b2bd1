package io.figspan.policy.placing;

import java.util.OptionalInt;

/**
 * What a request says of its prompt.
 *
 * @param promptTokens length of the prompt
 * @param maxOutputTokens most tokens of the answer
 * @param expectedOutputTokens the caller's estimate of the answer's tokens; right in the median, often far off
 */
public record PromptLengths(long promptTokens, long maxOutputTokens, OptionalInt expectedOutputTokens) {
    /** Most tokens that the request may hold in an engine's memory. */
    public long maxMemoryTokens() {
        return promptTokens + maxOutputTokens;
    }
}
