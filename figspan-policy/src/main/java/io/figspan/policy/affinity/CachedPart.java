package io.figspan.policy.affinity;

/** A part of a prompt that an engine probably holds in memory. Compared by identity. */
final class CachedPart {
    final long hash;
    final long tokens;

    /** Number of running requests with the part. */
    int users;

    /** Whether a request with the part has ended after the engine had prefilled it. */
    boolean held;

    /** End of the last such request. */
    long idleSinceNanos;

    CachedPart(long hash, long tokens) {
        this.hash = hash;
        this.tokens = tokens;
    }
}
