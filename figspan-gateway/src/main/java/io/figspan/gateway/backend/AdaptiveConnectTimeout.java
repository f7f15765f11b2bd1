package io.figspan.gateway.backend;

import java.util.concurrent.TimeUnit;

/**
 * Connect timeout for the backend servers of one availability zone, derived from the fastest connection so far. Not
 * thread-safe.
 */
final class AdaptiveConnectTimeout {
    /** Timeout until a server of the zone was reached for the first time, and upper bound after that. */
    static final int MAX_TIMEOUT_MS = 400;

    /** Lower bound of the timeout: a busy host processes its connection events late. */
    static final int MIN_TIMEOUT_MS = 150;

    /** A server that takes this many times longer than the fastest connection is down or unreachable. */
    static final int TIMEOUT_FACTOR = 5;

    private long fastestConnectNanos = Long.MAX_VALUE;

    /** Records how long a successful connection attempt took. */
    void recordConnect(long connectNanos) {
        fastestConnectNanos = Math.min(fastestConnectNanos, connectNanos);
    }

    int timeoutMs() {
        if (fastestConnectNanos == Long.MAX_VALUE) {
            return MAX_TIMEOUT_MS;
        }
        long adaptedMs = TIMEOUT_FACTOR * TimeUnit.NANOSECONDS.toMillis(fastestConnectNanos);
        return (int) Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, adaptedMs));
    }
}
