package io.figspan.policy.placement;

/**
 * Load of one engine as it reports it.
 *
 * @param sequence grows with each report of one incarnation of the engine
 * @param queuedPrefillTokens prompt tokens that are accepted and not yet processed
 * @param runningDecodes streams that are generating tokens
 * @param kvUsedTokens memory in use, with held memory and without cached prefixes that may be dropped
 * @param kvTotalTokens memory in all
 * @param prefixCacheHint Bloom filter of 64 bits over the cached prefixes, see {@link #hintBit(long)}
 */
public record LoadReport(
        long sequence,
        long queuedPrefillTokens,
        int runningDecodes,
        long kvUsedTokens,
        long kvTotalTokens,
        long prefixCacheHint) {

    /** Bit of a prefix in {@link #prefixCacheHint()}. */
    public static long hintBit(long prefixHash) {
        return 1L << (prefixHash >>> 58);
    }

    public long kvFreeTokens() {
        return Math.max(0, kvTotalTokens - kvUsedTokens);
    }

    public boolean mayHavePrefix(long prefixHash) {
        return (prefixCacheHint & hintBit(prefixHash)) != 0;
    }
}
