package io.figspan.policy.placing;

import java.util.OptionalInt;

/**
 * Token counts that a request states for its prompt and answer.
 *
 * @param promptTokens length of the prompt
 * @param maxOutputTokens maximum length of the answer
 * @param expectedOutputTokens the caller's estimate of the answer's length; right in the median, often far off
 */
public record PromptLengths(long promptTokens, long maxOutputTokens, OptionalInt expectedOutputTokens) {
    /** Maximum number of tokens that the request occupies in an engine's memory (KV cache). */
    public long maxMemoryTokens() {
        return promptTokens + maxOutputTokens;
    }
}
