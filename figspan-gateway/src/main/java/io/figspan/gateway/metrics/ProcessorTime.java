package io.figspan.gateway.metrics;

import java.lang.management.ManagementFactory;
import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Processor time of one thread by activity. Each moment counts for the innermost activity. All methods run on that
 * thread, but for {@link #spentMs}, which may be a little behind elsewhere.
 */
public final class ProcessorTime {
    private final LongSupplier spentNanos;
    private final Map<Activity, Long> spentNanosOn = new EnumMap<>(Activity.class);
    private Activity current = Activity.FORWARDING;
    private long sinceNanos;
    private boolean begun;

    /** Measures the thread that calls the methods. */
    public static ProcessorTime ofCallingThread() {
        return new ProcessorTime(ManagementFactory.getThreadMXBean()::getCurrentThreadCpuTime);
    }

    /**
     * No time spent yet; counts from the first activity on.
     *
     * @param spentNanos processor time of the thread until now
     */
    ProcessorTime(LongSupplier spentNanos) {
        this.spentNanos = spentNanos;
        for (Activity activity : Activity.values()) {
            spentNanosOn.put(activity, 0L);
        }
    }

    /** Runs something that counts for the activity. */
    public void measure(Activity activity, Runnable action) {
        measure(activity, () -> {
            action.run();
            return null;
        });
    }

    /** Runs something that counts for the activity. */
    public <T> T measure(Activity activity, Supplier<T> action) {
        Activity outer = current;
        change(activity);
        try {
            return action.get();
        } finally {
            change(outer);
        }
    }

    private void change(Activity next) {
        long nowNanos = spentNanos.getAsLong();
        if (begun) {
            spentNanosOn.merge(current, nowNanos - sinceNanos, Long::sum);
        }
        begun = true;
        sinceNanos = nowNanos;
        current = next;
    }

    /** Time spent on an activity, in milliseconds. */
    public long spentMs(Activity activity) {
        return TimeUnit.NANOSECONDS.toMillis(spentNanosOn.get(activity));
    }

    /** Time that all threads of the process have spent, in milliseconds; empty where the system doesn't tell. */
    public static OptionalLong ofProcessMs() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(spent -> OptionalLong.of(spent.toMillis()))
                .orElseGet(OptionalLong::empty);
    }
}
