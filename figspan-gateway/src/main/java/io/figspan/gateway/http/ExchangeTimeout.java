package io.figspan.gateway.http;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Time limits of an exchange. A large response over a slow link needs time as long as it makes progress, while a server
 * that sends nothing is given up early.
 *
 * @param firstByteMs longest time until the first byte of the response
 * @param stallMs longest time between two bytes of the response
 * @param totalMs longest time of the whole exchange
 */
public record ExchangeTimeout(long firstByteMs, long stallMs, long totalMs) {
    public ExchangeTimeout {
        if (firstByteMs <= 0 || stallMs <= 0 || totalMs < Math.max(firstByteMs, stallMs)) {
            throw new IllegalArgumentException("the timeouts of " + firstByteMs + " and " + stallMs
                    + " ms must be positive and at most the total of " + totalMs + " ms");
        }
    }

    /** A limit of the whole exchange only, for small responses. */
    public static ExchangeTimeout ofTotal(long totalMs) {
        return new ExchangeTimeout(totalMs, totalMs, totalMs);
    }

    /**
     * Time until the exchange is given up if no byte arrives before; not positive if it is due.
     *
     * @param lastByteNanos when the last byte arrived; empty before the first
     */
    public long remainingNanos(long startNanos, OptionalLong lastByteNanos, long nowNanos) {
        long totalLeftNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(totalMs) - nowNanos;
        long byteLeftNanos = lastByteNanos.isPresent()
                ? lastByteNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(stallMs) - nowNanos
                : startNanos + TimeUnit.MILLISECONDS.toNanos(firstByteMs) - nowNanos;
        return Math.min(totalLeftNanos, byteLeftNanos);
    }

    /** Describes the limit that was reached. */
    public String reason(long startNanos, OptionalLong lastByteNanos, long nowNanos) {
        if (lastByteNanos.isEmpty()) {
            return "no response within " + firstByteMs + " ms";
        }
        boolean isTotal = nowNanos - startNanos >= TimeUnit.MILLISECONDS.toNanos(totalMs);
        return isTotal ? "no complete response within " + totalMs + " ms" : "no byte for " + stallMs + " ms";
    }
}
