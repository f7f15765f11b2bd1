package io.figspan.policy.recovery;

import io.figspan.core.error.Problem;

/** What to do with a stream whose engine died. */
public sealed interface Recovery {
    /**
     * Continue on another engine.
     *
     * @param importKvTokens tokens whose KV cache is imported from the last export; 0 means none
     * @param prefillTokens tokens to process again, prompt and sent tokens together
     */
    record Continue(long importKvTokens, long prefillTokens) implements Recovery {}

    /** Fail at once. */
    record Fail(Problem problem) implements Recovery {}
}
