package io.figspan.settings.gateway;

/**
 * Limits on what a caller may send.
 *
 * @param maxHeaderBytes longest request line and headers
 * @param maxBodyBytes longest body
 * @param headerTimeoutMs longest time that the headers may take
 * @param idleTimeoutMs longest time that a connection may stay idle
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** In force while no settings are known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 * 1_024 * 1_024, 3_000, 15_000);
}
