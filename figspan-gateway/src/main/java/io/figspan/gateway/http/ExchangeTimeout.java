package io.figspan.gateway.http;

import java.util.concurrent.TimeUnit;

/**
 * Time limits of an exchange. A large response over a slow link needs time as long as it makes progress, while a server
 * that sends nothing is given up early.
 *
 * @param stallMs longest time without a byte of the response
 * @param totalMs longest time of the whole exchange
 */
public record ExchangeTimeout(long stallMs, long totalMs) {
    public ExchangeTimeout {
        if (stallMs <= 0 || totalMs < stallMs) {
            throw new IllegalArgumentException(
                    "stall timeout " + stallMs + " ms must be positive and at most the total of " + totalMs + " ms");
        }
    }

    /** A limit of the whole exchange only, for small responses. */
    public static ExchangeTimeout ofTotal(long totalMs) {
        return new ExchangeTimeout(totalMs, totalMs);
    }

    /** Time until the exchange is given up if no byte arrives before; not positive if it is due. */
    public long remainingNanos(long startNanos, long lastProgressNanos, long nowNanos) {
        long totalLeftNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(totalMs) - nowNanos;
        long stallLeftNanos = lastProgressNanos + TimeUnit.MILLISECONDS.toNanos(stallMs) - nowNanos;
        return Math.min(totalLeftNanos, stallLeftNanos);
    }

    /** Describes the limit that was reached. */
    public String reason(long startNanos, long nowNanos) {
        boolean isTotal = nowNanos - startNanos >= TimeUnit.MILLISECONDS.toNanos(totalMs);
        return isTotal ? "no response within " + totalMs + " ms" : "no byte for " + stallMs + " ms";
    }
}
