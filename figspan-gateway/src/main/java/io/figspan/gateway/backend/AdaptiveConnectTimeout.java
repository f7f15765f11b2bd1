package io.figspan.gateway.backend;

import java.util.concurrent.TimeUnit;

/** How long it takes to connect to the backend servers of one availability zone, and how long to wait for it. */
final class AdaptiveConnectTimeout {
    /** Time to connect while none of the servers was ever reached. */
    static final int FIRST_TIMEOUT_MS = 400;

    /** Least time to connect: a busy host looks at its connections late. */
    static final int LEAST_TIMEOUT_MS = 150;

    /** A server that needs this many times longer than the fastest one is down or cut off. */
    static final int TIMEOUT_FACTOR = 5;

    private long fastestNanos = Long.MAX_VALUE;

    void connected(long nanos) {
        fastestNanos = Math.min(fastestNanos, nanos);
    }

    int timeoutMs() {
        if (fastestNanos == Long.MAX_VALUE) {
            return FIRST_TIMEOUT_MS;
        }
        long expectedMs = TIMEOUT_FACTOR * TimeUnit.NANOSECONDS.toMillis(fastestNanos);
        return (int) Math.min(FIRST_TIMEOUT_MS, Math.max(LEAST_TIMEOUT_MS, expectedMs));
    }
}
