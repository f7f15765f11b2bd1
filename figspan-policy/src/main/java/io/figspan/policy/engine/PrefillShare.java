package io.figspan.policy.engine;

import io.figspan.settings.gateway.EngineProfile;

/**
 * The share of a prompt that one engine prefills: the whole prompt, or one of several equal shares.
 *
 * @param tokens prompt tokens to prefill
 * @param attentionPairs pairs of a prompt token and an earlier one, which attention compares
 * @param engines number of engines among which the prompt is split
 */
public record PrefillShare(double tokens, double attentionPairs, int engines) {
    private static final double MILLION_PAIRS = 1_000_000;

    /** Returns the share of each engine when {@code engines} engines prefill a prompt together. */
    public static PrefillShare of(double promptTokens, int engines) {
        double attentionPairs = promptTokens * promptTokens / 2;
        return new PrefillShare(promptTokens / engines, attentionPairs / engines, engines);
    }

    /** Returns what one engine prefills of a prompt when it holds its first {@code prefixTokens} in memory. */
    public static PrefillShare afterPrefix(double promptTokens, double prefixTokens) {
        double attentionPairs = (promptTokens * promptTokens - prefixTokens * prefixTokens) / 2;
        return new PrefillShare(promptTokens - prefixTokens, attentionPairs, 1);
    }

    /** Whether the prompt is split among several engines; shares of split prompts go before whole prompts. */
    public boolean isSplit() {
        return engines > 1;
    }

    /** Returns the prefill time in milliseconds, without the fixed time of the steps that the prefill is part of. */
    public double prefillMs(EngineProfile profile) {
        return tokens / profile.prefillTokensPerMs()
                + attentionPairs / MILLION_PAIRS * profile.prefillMsPerMillionPairs();
    }
}
