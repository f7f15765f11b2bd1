package io.figspan.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against hosts that together send more retries within a window than the shared budget allows. */
class WindowedRetryBudgetProperties {
    private static final double FRACTION = 0.2;
    private static final double ALLOWANCE = 100;
    private static final long WINDOW_MS = 10_000;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private record Event(long atNanos, boolean retry) {}

    @Property(seed = "21", tries = 40)
    void inEachWindowAllHostsTogetherStayWithinTheBudget(
            @ForAll @IntRange(min = 1, max = 8) int hosts, @ForAll @IntRange(max = 1_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<WindowedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            budgets.add(new WindowedRetryBudget(FRACTION, ALLOWANCE, WINDOW_MS));
            budgets.get(i).setHostCount(hosts);
        }
        List<Event> events = new ArrayList<>();
        long startNanos = random.nextLong();
        for (int step = 0; step < 2_000; step++) {
            long nowNanos = startNanos + step * STEP_NANOS;
            WindowedRetryBudget budget = budgets.get(random.nextInt(hosts));
            if (random.nextInt(3) == 0) {
                budget.recordRequest(nowNanos);
                events.add(new Event(step * STEP_NANOS, false));
            } else if (budget.tryRetry(nowNanos)) {
                events.add(new Event(step * STEP_NANOS, true));
            }
            requireWithinBudget(events, step * STEP_NANOS);
        }
    }

    /**
     * Checks the window that ends at {@code nowNanos}; called for each step, so that every window is checked. The bound
     * is the largest request count of the window itself, the window before it and the window half a window earlier.
     */
    private static void requireWithinBudget(List<Event> events, long nowNanos) {
        long windowNanos = TimeUnit.MILLISECONDS.toNanos(WINDOW_MS);
        long retries = count(events, true, nowNanos, windowNanos);
        long requests = Math.max(
                count(events, false, nowNanos, windowNanos),
                Math.max(
                        count(events, false, nowNanos - windowNanos / 2, windowNanos),
                        count(events, false, nowNanos - windowNanos, windowNanos)));
        assertTrue(retries <= FRACTION * requests + ALLOWANCE, retries + " retries for " + requests + " requests");
    }

    private static long count(List<Event> events, boolean retry, long endNanos, long windowNanos) {
        return events.stream()
                .filter(event -> event.retry() == retry)
                .filter(event -> event.atNanos() > endNanos - windowNanos && event.atNanos() <= endNanos)
                .count();
    }

    @Test
    void theAllowanceIsAvailableAgainAfterTheWindow() {
        WindowedRetryBudget budget = new WindowedRetryBudget(FRACTION, 2, WINDOW_MS);
        assertTrue(budget.tryRetry(0));
        assertTrue(budget.tryRetry(0));
        assertFalse(budget.tryRetry(0));
        long laterNanos = TimeUnit.MILLISECONDS.toNanos(WINDOW_MS + WINDOW_MS / 5);
        assertTrue(budget.tryRetry(laterNanos));
        assertEquals(1, budget.retriesInWindow());
    }
}
