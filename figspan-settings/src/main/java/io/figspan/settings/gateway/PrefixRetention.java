package io.figspan.settings.gateway;

/**
 * How long the engines of a service keep the prefix of a prompt in memory.
 *
 * @param retentionMs time after the last request with the prefix; 0 if it is kept only while such a request runs
 */
public record PrefixRetention(long retentionMs) {
    /** A prefix is kept only while a request with it runs. */
    public static final PrefixRetention NONE = new PrefixRetention(0);

    public PrefixRetention {
        retentionMs = Math.max(0, retentionMs);
    }

    /** Whether a prefix outlives the requests with it. */
    public boolean isRetained() {
        return retentionMs > 0;
    }
}
