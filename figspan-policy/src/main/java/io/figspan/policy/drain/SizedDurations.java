package io.figspan.policy.drain;

import io.figspan.policy.drain.DurationEstimate.Basis;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The latest durations by size class. The bound of a larger size is at least that of each smaller one. Not thread-safe.
 */
final class SizedDurations {
    /** Within one class durations grow by less than the margin of a bound. */
    private static final double CLASSES_PER_DOUBLING = 8;

    /** Answers of any size after which a size class with few of its own is forgotten, and its slow ones with it. */
    static final int MAX_AGE_ANSWERS = 2_048;

    private final double growthPerDoubling;
    private final NavigableMap<Integer, SizeClass> bySizeClass = new TreeMap<>();
    private long answers;

    /** The durations of one size class, and the number of answers of any size before its first one. */
    private record SizeClass(RecentMaximum durations, long bornAtAnswers) {}

    /** A bound and the durations from which it was derived. */
    record Bound(double nanos, Basis basis) {
        Bound atLeast(double leastNanos) {
            return leastNanos > nanos ? new Bound(leastNanos, basis) : this;
        }
    }

    /**
     * Creates an empty table.
     *
     * @param growthPerDoubling factor by which durations may grow when the size doubles
     */
    SizedDurations(double growthPerDoubling) {
        this.growthPerDoubling = growthPerDoubling;
    }

    private static int sizeClass(double tokens) {
        return (int) (CLASSES_PER_DOUBLING * Math.log(Math.max(1, tokens)) / Math.log(2));
    }

    private RecentMaximum of(double tokens) {
        return bySizeClass
                .computeIfAbsent(sizeClass(tokens), created -> new SizeClass(new RecentMaximum(), answers))
                .durations();
    }

    void add(double tokens, long nanos) {
        answers++;
        if (answers % RecentMaximum.WINDOW_SIZE == 0) {
            bySizeClass.values().removeIf(this::isOld);
        }
        of(tokens).add((double) nanos);
    }

    private boolean isOld(SizeClass sizeClass) {
        return !sizeClass.durations().isFull() && answers - sizeClass.bornAtAnswers() > MAX_AGE_ANSWERS;
    }

    /** Takes account of a request that has not ended. */
    void raise(double tokens, long nanos) {
        of(tokens).raise((double) nanos);
    }

    /** Bound for a request of this size; empty if no request has ended. */
    Optional<Bound> bound(double tokens) {
        int sizeClass = sizeClass(tokens);
        return answeredBound(sizeClass).map(bound -> bound.atLeast(largestUpToNanos(tokens)));
    }

    /** Uses the next larger size class if the own one has no answers, otherwise a smaller one in proportion. */
    private Optional<Bound> answeredBound(int sizeClass) {
        Optional<Map.Entry<Integer, SizeClass>> sameOrLarger = firstAnswered(bySizeClass.tailMap(sizeClass, true));
        if (sameOrLarger.isPresent()) {
            Basis basis = sameOrLarger.get().getKey() == sizeClass ? Basis.SAME_SIZE : Basis.LARGER_SIZE;
            return Optional.of(
                    new Bound(sameOrLarger.get().getValue().durations().boundNanos(), basis));
        }
        return firstAnswered(bySizeClass.descendingMap()).map(smaller -> {
            double doublings = (sizeClass - smaller.getKey()) / CLASSES_PER_DOUBLING;
            double growth = Math.pow(growthPerDoubling, doublings);
            return new Bound(smaller.getValue().durations().boundNanos() * growth, Basis.SMALLER_SIZE);
        });
    }

    private static Optional<Map.Entry<Integer, SizeClass>> firstAnswered(Map<Integer, SizeClass> classes) {
        return classes.entrySet().stream()
                .filter(entry -> !entry.getValue().durations().isEmpty())
                .findFirst();
    }

    /** The largest bound in nanoseconds of requests up to this size, also of those that have not ended. */
    double largestUpToNanos(double tokens) {
        return bySizeClass.headMap(sizeClass(tokens), true).values().stream()
                .mapToDouble(sizeClass -> sizeClass.durations().boundNanos())
                .max()
                .orElse(0);
    }
}
