package io.figspan.gateway.caller;

import io.figspan.settings.gateway.CallerLimits;

/**
 * How long the body of a request may take to arrive: what a connection may be idle, and a second more for each thousand
 * bytes. A byte now and then thus doesn't hold a connection for ever, and a slow but steady caller is not cut off.
 */
final class BodyReadTimeout {
    private static final long MIN_BYTES_PER_SECOND = 1_000;
    private static final long MS_PER_SECOND = 1_000;

    private BodyReadTimeout() {}

    /** Whether a body whose head came so long ago should have brought more by now. */
    static boolean isTooSlow(long sinceHeadMs, long receivedBytes, CallerLimits limits) {
        return sinceHeadMs > limits.idleTimeoutMs() + receivedBytes * MS_PER_SECOND / MIN_BYTES_PER_SECOND;
    }
}
