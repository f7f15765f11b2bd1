package io.figspan.gateway.caller;

import io.figspan.settings.gateway.CallerLimits;

/**
 * Time limit for the arrival of a request body: the idle timeout of the connection, and another second per thousand
 * bytes received. A caller that sends a byte now and then cannot hold a connection forever, and a slow but steady
 * caller is not cut off.
 */
final class BodyReadTimeout {
    private static final long MIN_BYTES_PER_SECOND = 1_000;
    private static final long MS_PER_SECOND = 1_000;

    private BodyReadTimeout() {}

    /** Whether the body has exceeded its time limit, given the time since its head arrived. */
    static boolean isExceeded(long sinceHeadMs, long receivedBytes, CallerLimits limits) {
        return sinceHeadMs > limits.idleTimeoutMs() + receivedBytes * MS_PER_SECOND / MIN_BYTES_PER_SECOND;
    }
}
