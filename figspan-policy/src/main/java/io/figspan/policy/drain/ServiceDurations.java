package io.figspan.policy.drain;

import io.figspan.policy.drain.SizedDurations.Bound;
import java.util.Optional;

/**
 * The latest durations of the requests of one kind at one service. Streams whose longest answer is known have two
 * phases: the time until the first event grows with the prompt, the rest with the number of events. Not thread-safe.
 */
final class ServiceDurations {
    /** The time for reading a prompt grows with the square of its length at most. */
    private static final double READING_GROWTH_PER_CLASS = 4;

    private static final double GROWTH_PER_CLASS = 2;

    private final SizedDurations reading = new SizedDurations(READING_GROWTH_PER_CLASS);
    private final SizedDurations total = new SizedDurations(GROWTH_PER_CLASS);
    private Optional<RecentMaximum> gaps = Optional.empty();

    void add(RequestProfile request, RequestTiming timing) {
        if (!request.hasKnownLength()) {
            total.add(request.requestSizeClass(), timing.totalNanos());
            return;
        }
        reading.add(request.promptSizeClass(), timing.readingNanos());
        timing.gapNanos(request.maxGaps()).ifPresent(nanos -> {
            gaps = gaps.or(() -> Optional.of(new RecentMaximum()));
            gaps.orElseThrow().add(nanos);
        });
    }

    /** Takes account of a request that has not ended. */
    void raise(RequestProfile request, RequestTiming timing) {
        if (!request.hasKnownLength()) {
            total.raise(request.requestSizeClass(), timing.totalNanos());
            return;
        }
        reading.raise(request.promptSizeClass(), timing.readingNanos());
        timing.gapNanos(request.maxGaps()).ifPresent(nanos -> gaps.ifPresent(known -> known.raise(nanos)));
    }

    /** Bound for the duration of a request; empty if nothing is known about one of its phases. */
    Optional<Bound> bound(RequestProfile request) {
        if (!request.hasKnownLength()) {
            return total.bound(request.requestSizeClass());
        }
        if (request.maxGaps() > 0 && gaps.isEmpty()) {
            return Optional.empty();
        }
        double writingNanos = gaps.map(RecentMaximum::boundNanos).orElse(0.0) * request.maxGaps();
        return reading.bound(request.promptSizeClass())
                .map(bound -> new Bound(bound.nanos() + writingNanos, bound.basis()));
    }
}
