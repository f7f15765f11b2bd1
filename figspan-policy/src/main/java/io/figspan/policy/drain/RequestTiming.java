package io.figspan.policy.drain;

import java.util.OptionalLong;

/**
 * The course of one request, whether it has ended or not. Durations are in nanoseconds since its receipt.
 *
 * @param totalNanos time until its end, or until now
 * @param firstEventNanos time until the first event of its stream; empty without one
 * @param events events of its stream so far
 */
public record RequestTiming(long totalNanos, OptionalLong firstEventNanos, long events) {
    /** Time until the first event, or until now while there is none. */
    long readingNanos() {
        return firstEventNanos.orElse(totalNanos);
    }

    /** Mean time between two events so far, of a stream that has at most this many gaps. */
    OptionalLong gapNanos(long maxGaps) {
        if (firstEventNanos.isEmpty() || events < 2) {
            return OptionalLong.empty();
        }
        long gaps = Math.max(1, Math.min(events - 1, maxGaps));
        return OptionalLong.of((totalNanos - firstEventNanos.getAsLong()) / gaps);
    }
}
