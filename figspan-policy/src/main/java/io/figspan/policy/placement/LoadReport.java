package io.figspan.policy.placement;

/**
 * Load report of one engine.
 *
 * @param sequence sequence number, increasing with each report of one incarnation of the engine
 * @param queuedPrefillTokens accepted prompt tokens that have not been prefilled
 * @param runningDecodes number of streams that are generating tokens
 * @param kvUsedTokens KV cache tokens in use, including reserved ones and excluding cached prefixes that can be evicted
 * @param kvTotalTokens KV cache capacity in tokens
 * @param prefixCacheHint 64-bit Bloom filter of the cached prefixes; see {@link #hintBit(long)}
 */
public record LoadReport(
        long sequence,
        long queuedPrefillTokens,
        int runningDecodes,
        long kvUsedTokens,
        long kvTotalTokens,
        long prefixCacheHint) {

    /** Returns the bit of a prefix in {@link #prefixCacheHint()}. */
    public static long hintBit(long prefixHash) {
        return 1L << (prefixHash >>> 58);
    }

    public long kvFreeTokens() {
        return Math.max(0, kvTotalTokens - kvUsedTokens);
    }

    /** Tells whether the engine may have cached the prefix; false positives are possible. */
    public boolean mayHavePrefix(long prefixHash) {
        return (prefixCacheHint & hintBit(prefixHash)) != 0;
    }
}
