package io.figspan.policy.placement;

/**
 * Resources that a prompt needs on an engine.
 *
 * @param promptTokens length of the prompt
 * @param maxOutputTokens maximum number of tokens to generate
 * @param prefixHash hash of the shared prefix; 0 if there is none
 * @param prefixTokens length of the shared prefix
 */
public record PromptCost(long promptTokens, long maxOutputTokens, long prefixHash, long prefixTokens) {
    /** Prompts above this length are long: they occupy an engine for seconds. */
    public static final long LONG_PROMPT_TOKENS = 32_768;

    public boolean isLong() {
        return promptTokens > LONG_PROMPT_TOKENS;
    }

    /** KV cache tokens that the prompt needs until its stream ends. */
    public long kvTokens() {
        return promptTokens + maxOutputTokens;
    }

    /** Tokens to prefill on an engine that has or has not cached the shared prefix; at least 1 if it has. */
    public long prefillTokens(boolean cached) {
        return cached ? Math.max(1, promptTokens - prefixTokens) : promptTokens;
    }
}
