package io.figspan.policy.drain;

import io.figspan.policy.drain.DurationEstimate.Basis;
import java.util.Arrays;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Estimates the duration of requests from the latest ones of the same route and size class. Durations of one route
 * differ a hundredfold by the length of the prompt, so prompts of different lengths have different estimates. Bounded;
 * not thread-safe.
 */
public final class RequestDurations {
    /** Durations kept for each route and size class. */
    static final int WINDOW_SIZE = 32;

    /** Maximum number of routes with durations. */
    static final int MAX_ROUTES = 256;

    /** Durations below which the estimate has a larger margin. */
    private static final int MIN_DURATIONS = 8;

    /** Estimate for requests that may be repeated when nothing is known; a wrong one costs the caller a retry. */
    static final long DEFAULT_MS = 4_000;

    private static final double QUANTILE = 0.95;
    private static final double MARGIN_FACTOR = 1.25;
    private static final double FEW_DURATIONS_FACTOR = 2;

    private final Map<String, NavigableMap<Integer, Window>> windowsByRoute = new TreeMap<>();

    /** The latest durations of one route and size class. */
    private static final class Window {
        private final int[] durationsMs = new int[WINDOW_SIZE];
        private int count;
        private int next;

        void add(long durationMs) {
            durationsMs[next] = (int) Math.min(Integer.MAX_VALUE, Math.max(1, durationMs));
            next = (next + 1) % WINDOW_SIZE;
            count = Math.min(WINDOW_SIZE, count + 1);
        }

        double estimateMs(double quantile) {
            int[] sorted = Arrays.copyOf(durationsMs, count);
            Arrays.sort(sorted);
            int index = (int) Math.ceil(quantile * count) - 1;
            double factor = count < MIN_DURATIONS ? FEW_DURATIONS_FACTOR : MARGIN_FACTOR;
            return sorted[index] * factor;
        }
    }

    /** Records the time from the receipt of a request to its complete answer. */
    public void record(RequestProfile request, long durationNanos) {
        NavigableMap<Integer, Window> windows = windowsByRoute.get(request.route());
        if (windows == null) {
            if (windowsByRoute.size() >= MAX_ROUTES) {
                return;
            }
            windows = new TreeMap<>();
            windowsByRoute.put(request.route(), windows);
        }
        windows.computeIfAbsent(request.sizeClass(), sizeClass -> new Window())
                .add(TimeUnit.NANOSECONDS.toMillis(durationNanos));
    }

    /** Drops the durations of all other routes. */
    public void retainRoutes(Set<String> routes) {
        windowsByRoute.keySet().retainAll(routes);
    }

    /**
     * Time that such a request is expected to take at most. For a request that may not be repeated it is the longest
     * recent duration instead of a high quantile, and the timeout when nothing is known, because its caller can't make
     * up for a missing answer.
     */
    public DurationEstimate estimate(RequestProfile request) {
        NavigableMap<Integer, Window> windows = windowsByRoute.get(request.route());
        if (windows == null) {
            long expectedMs = request.mayRepeat() ? Math.min(DEFAULT_MS, request.timeoutMs()) : request.timeoutMs();
            return new DurationEstimate(expectedMs, Basis.NOTHING);
        }
        double quantile = request.mayRepeat() ? QUANTILE : 1;
        return estimate(windows, request, window -> window.estimateMs(quantile));
    }

    /** The time of {@link #estimate}. */
    public long expectedMs(RequestProfile request) {
        return estimate(request).expectedMs();
    }

    /** Uses the next larger size class if the own one has no durations, otherwise a smaller one in proportion. */
    private static DurationEstimate estimate(
            NavigableMap<Integer, Window> windows, RequestProfile request, Function<Window, Double> estimate) {
        int sizeClass = request.sizeClass();
        Map.Entry<Integer, Window> sameOrLarger = windows.ceilingEntry(sizeClass);
        if (sameOrLarger != null) {
            Basis basis = sameOrLarger.getKey() == sizeClass ? Basis.SAME_SIZE : Basis.LARGER_SIZE;
            return bounded(estimate.apply(sameOrLarger.getValue()), request, basis);
        }
        Map.Entry<Integer, Window> smaller = windows.lastEntry();
        double proportion = Math.pow(2, sizeClass - smaller.getKey());
        return bounded(estimate.apply(smaller.getValue()) * proportion, request, Basis.SMALLER_SIZE);
    }

    private static DurationEstimate bounded(double estimateMs, RequestProfile request, Basis basis) {
        return new DurationEstimate(Math.min(request.timeoutMs(), (long) Math.ceil(estimateMs)), basis);
    }
}
