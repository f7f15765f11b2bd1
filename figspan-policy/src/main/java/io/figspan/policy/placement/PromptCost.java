package io.figspan.policy.placement;

/**
 * What a prompt costs an engine.
 *
 * @param promptTokens length of the prompt
 * @param maxOutputTokens most tokens that are generated
 * @param prefixHash hash of the shared prefix, 0 when there is none
 * @param prefixTokens length of the shared prefix
 */
public record PromptCost(long promptTokens, long maxOutputTokens, long prefixHash, long prefixTokens) {
    /** Prompts above this length count as long: they take seconds of an engine. */
    public static final long LONG_PROMPT_TOKENS = 32_768;

    public boolean isLong() {
        return promptTokens > LONG_PROMPT_TOKENS;
    }

    /** Memory that the prompt needs until its stream ends. */
    public long kvTokens() {
        return promptTokens + maxOutputTokens;
    }

    /** Tokens to process on an engine that has the shared prefix cached or not. */
    public long prefillTokens(boolean cached) {
        return cached ? Math.max(1, promptTokens - prefixTokens) : promptTokens;
    }
}
