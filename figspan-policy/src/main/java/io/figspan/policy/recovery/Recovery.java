package io.figspan.policy.recovery;

import io.figspan.core.error.Problem;

/** Action for a stream whose engine failed. */
public sealed interface Recovery {
    /**
     * Resumes the stream on another engine.
     *
     * @param importKvTokens tokens whose KV cache is imported from the last export; 0 if there is none
     * @param prefillTokens prompt tokens and already delivered tokens to prefill again
     */
    record Continue(long importKvTokens, long prefillTokens) implements Recovery {}

    /** Fails the stream immediately. */
    record Fail(Problem problem) implements Recovery {}
}
