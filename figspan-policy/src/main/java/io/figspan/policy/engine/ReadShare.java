package io.figspan.policy.engine;

import io.figspan.settings.gateway.EngineProfile;

/**
 * What one engine reads of a prompt: all of it, or one of several even parts.
 *
 * @param tokens prompt tokens to read
 * @param pairs pairs of a prompt token and one before it that reading compares
 * @param engines number of engines that read parts of the prompt
 */
public record ReadShare(double tokens, double pairs, int engines) {
    private static final double MILLION_PAIRS = 1_000_000;

    /** The share of each of {@code engines} engines that read a prompt together. */
    public static ReadShare of(double promptTokens, int engines) {
        double pairs = promptTokens * promptTokens / 2;
        return new ReadShare(promptTokens / engines, pairs / engines, engines);
    }

    /** Whether other engines read parts too; such reading goes before that of whole prompts. */
    public boolean isPart() {
        return engines > 1;
    }

    /** Time that the reading takes without the steps around it, in milliseconds. */
    public double readMs(EngineProfile profile) {
        return tokens / profile.prefillTokensPerMs() + pairs / MILLION_PAIRS * profile.prefillMsPerMillionPairs();
    }
}
