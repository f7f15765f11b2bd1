package io.figspan.gateway.caller;

import io.figspan.settings.gateway.CallerLimits;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** The time limits for what one connection of a caller has yet to send. All times are on the monotonic clock. */
final class ReceiveTimeouts {
    private CallerLimits limits;
    private long lastActivityNanos;
    private boolean readingHead;
    private OptionalLong headNanos = OptionalLong.empty();

    /** A time limit that a caller may exceed. */
    enum Timeout {
        HEADERS,
        BODY,
        IDLE
    }

    ReceiveTimeouts(CallerLimits limits, long nowNanos) {
        this.limits = limits;
        this.lastActivityNanos = nowNanos;
    }

    /**
     * Applies changed limits. Shorter timeouts don't apply to a connection that is open: its caller may not know them
     * yet, and may still use the connection or send a request for as long as before.
     */
    void limitsChanged(CallerLimits changed) {
        limits = new CallerLimits(
                changed.maxHeaderBytes(),
                changed.maxBodyBytes(),
                Math.max(limits.headerTimeoutMs(), changed.headerTimeoutMs()),
                Math.max(limits.idleTimeoutMs(), changed.idleTimeoutMs()));
    }

    /** Bytes of a request have arrived that are not decoded yet. The time for the head begins with its first bytes. */
    void bytesReceived(long nowNanos) {
        if (headNanos.isPresent() || !readingHead) {
            lastActivityNanos = nowNanos;
        }
        readingHead = headNanos.isEmpty();
    }

    /** The head of a request is complete. */
    void headReceived(long nowNanos) {
        readingHead = false;
        lastActivityNanos = nowNanos;
        headNanos = OptionalLong.of(nowNanos);
    }

    /** The response is written; the connection may be used again. */
    void responseWritten(long nowNanos) {
        lastActivityNanos = nowNanos;
        headNanos = OptionalLong.empty();
    }

    /** Time of the last bytes that were awaited. */
    long lastActivityNanos() {
        return lastActivityNanos;
    }

    /** Whether a part of a request has been received, but not all of its head. */
    boolean isReadingHead() {
        return readingHead;
    }

    /** The time limit that has passed, given the bytes of the body received so far. */
    Optional<Timeout> exceeded(long bodyBytes, long nowNanos) {
        long inactiveMs = ms(lastActivityNanos, nowNanos);
        if (readingHead) {
            return inactiveMs > limits.headerTimeoutMs() ? Optional.of(Timeout.HEADERS) : Optional.empty();
        }
        boolean isInactive = inactiveMs > limits.idleTimeoutMs();
        if (headNanos.isEmpty()) {
            return isInactive ? Optional.of(Timeout.IDLE) : Optional.empty();
        }
        long sinceHeadMs = ms(headNanos.getAsLong(), nowNanos);
        boolean isTooSlow = isInactive || BodyReadTimeout.isExceeded(sinceHeadMs, bodyBytes, limits);
        return isTooSlow ? Optional.of(Timeout.BODY) : Optional.empty();
    }

    private static long ms(long fromNanos, long toNanos) {
        return TimeUnit.NANOSECONDS.toMillis(toNanos - fromNanos);
    }
}
