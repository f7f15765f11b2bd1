package io.figspan.policy.drain;

import io.figspan.policy.drain.SizedDurations.Bound;
import java.util.Optional;

/**
 * The latest durations of the requests of one kind at one service. Streams whose longest answer is known have two
 * phases: the time until the first event grows with the prompt, the rest with the number of tokens. Not thread-safe.
 */
final class ServiceDurations {
    /** The time for reading a prompt grows with the square of its length at most. */
    private static final double READING_GROWTH_PER_DOUBLING = 4;

    private static final double GROWTH_PER_DOUBLING = 2;

    /** Answers below which the next request may take much longer than all of them. */
    private static final int MIN_ANSWERS = 8;

    private final SizedDurations reading = new SizedDurations(READING_GROWTH_PER_DOUBLING);
    private final SizedDurations total = new SizedDurations(GROWTH_PER_DOUBLING);
    private final RecentMaximum perToken = new RecentMaximum();
    private int answers;

    /** Part of the timeout, from 1 down to 0, that a request may take although the known ones took less. */
    double unknownShare() {
        return Math.max(0, 1 - (double) answers / MIN_ANSWERS);
    }

    void add(RequestProfile request, RequestTiming timing) {
        answers = Math.min(MIN_ANSWERS, answers + 1);
        total.add(request.sizeTokens(), timing.totalNanos());
        if (request.hasKnownLength()) {
            reading.add(request.promptTokens(), timing.readingNanos());
            timing.tokenNanos(request).ifPresent(perToken::add);
        }
    }

    /** Takes account of a request that has not ended. */
    void raise(RequestProfile request, RequestTiming timing) {
        total.raise(request.sizeTokens(), timing.totalNanos());
        if (request.hasKnownLength()) {
            reading.raise(request.promptTokens(), timing.readingNanos());
            timing.tokenNanos(request).ifPresent(perToken::raise);
        }
    }

    /** Bound for the duration of a request; empty if nothing is known about one of its phases. */
    Optional<Bound> bound(RequestProfile request) {
        Optional<Bound> ofTotal = total.bound(request.sizeTokens());
        if (!request.hasKnownLength()) {
            return ofTotal;
        }
        if (perToken.isEmpty() && request.tokensAfterFirstEvent() > 0) {
            return Optional.empty();
        }
        double writingNanos = perToken.boundNanos() * request.tokensAfterFirstEvent();
        double totalNanos = total.largestUpToNanos(request.sizeTokens());
        return reading.bound(request.promptTokens())
                .map(bound -> new Bound(bound.nanos() + writingNanos, bound.basis()).atLeast(totalNanos));
    }
}
