package io.figspan.policy.drain;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The course of one request, whether it has ended or not.
 *
 * @param totalNanos time from its receipt until its end, or until now
 * @param events the events of its stream so far; empty without one
 */
public record RequestTiming(long totalNanos, Optional<Events> events) {
    /**
     * Events of a stream. Durations are in nanoseconds since the receipt of the request.
     *
     * @param firstNanos time until the first event
     * @param lastNanos time until the latest event
     * @param count number of events
     */
    public record Events(long firstNanos, long lastNanos, long count) {}

    /** A request without events. */
    public static RequestTiming withoutEvents(long totalNanos) {
        return new RequestTiming(totalNanos, Optional.empty());
    }

    /** Time until the first event, or until now while there is none. */
    long readingNanos() {
        return events.map(Events::firstNanos).orElse(totalNanos);
    }

    /** Mean time for a token after the first event in nanoseconds; empty with fewer than two events. */
    OptionalDouble tokenNanos(RequestProfile request) {
        if (events.isEmpty() || events.get().count() < 2) {
            return OptionalDouble.empty();
        }
        Events seen = events.get();
        double tokens = Math.min((seen.count() - 1) * request.eventTokens(), request.tokensAfterFirstEvent());
        return OptionalDouble.of((seen.lastNanos() - seen.firstNanos()) / Math.max(1, tokens));
    }
}
