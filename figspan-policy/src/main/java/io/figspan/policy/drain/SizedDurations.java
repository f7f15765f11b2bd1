package io.figspan.policy.drain;

import io.figspan.policy.drain.DurationEstimate.Basis;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** The latest durations by size class, one for each power of two. Not thread-safe. */
final class SizedDurations {
    private final double growthPerClass;
    private final NavigableMap<Integer, RecentMaximum> bySizeClass = new TreeMap<>();

    /** A bound and the durations from which it was derived. */
    record Bound(double nanos, Basis basis) {}

    /**
     * Creates an empty table.
     *
     * @param growthPerClass factor by which durations may grow from one size class to the next
     */
    SizedDurations(double growthPerClass) {
        this.growthPerClass = growthPerClass;
    }

    void add(int sizeClass, long nanos) {
        bySizeClass.computeIfAbsent(sizeClass, created -> new RecentMaximum()).add(nanos);
    }

    /** Takes account of a request that has not ended; without any that has, nothing is known about its class. */
    void raise(int sizeClass, long nanos) {
        RecentMaximum known = bySizeClass.get(sizeClass);
        if (known != null) {
            known.raise(nanos);
        }
    }

    /** Uses the next larger size class if the own one has no durations, otherwise a smaller one in proportion. */
    Optional<Bound> bound(int sizeClass) {
        if (bySizeClass.isEmpty()) {
            return Optional.empty();
        }
        Map.Entry<Integer, RecentMaximum> sameOrLarger = bySizeClass.ceilingEntry(sizeClass);
        if (sameOrLarger != null) {
            Basis basis = sameOrLarger.getKey() == sizeClass ? Basis.SAME_SIZE : Basis.LARGER_SIZE;
            return Optional.of(new Bound(sameOrLarger.getValue().boundNanos(), basis));
        }
        Map.Entry<Integer, RecentMaximum> smaller = bySizeClass.lastEntry();
        double growth = Math.pow(growthPerClass, sizeClass - smaller.getKey());
        return Optional.of(new Bound(smaller.getValue().boundNanos() * growth, Basis.SMALLER_SIZE));
    }
}
