package io.figspan.gateway.metrics;

import java.lang.management.ManagementFactory;
import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Accounts the processor time of one thread by activity. With nested activities, time counts only for the innermost
 * one. All methods run on that thread; {@link #spentMs} may also be called from others, where the value may lag a
 * little.
 */
public final class ProcessorTime {
    private final LongSupplier threadNanos;
    private final Map<Activity, Long> spentNanos = new EnumMap<>(Activity.class);
    private Activity current = Activity.FORWARDING;
    private long activityStartNanos;
    private boolean started;

    /** Measures the thread that calls the methods. */
    public static ProcessorTime ofCallingThread() {
        return new ProcessorTime(ManagementFactory.getThreadMXBean()::getCurrentThreadCpuTime);
    }

    /**
     * Starts with no time spent; counting begins with the first activity.
     *
     * @param threadNanos processor time of the thread up to now
     */
    ProcessorTime(LongSupplier threadNanos) {
        this.threadNanos = threadNanos;
        for (Activity activity : Activity.values()) {
            spentNanos.put(activity, 0L);
        }
    }

    /** Runs an action and counts its time for the activity. */
    public void measure(Activity activity, Runnable action) {
        measure(activity, () -> {
            action.run();
            return null;
        });
    }

    /** Runs an action and counts its time for the activity; returns the result of the action. */
    public <T> T measure(Activity activity, Supplier<T> action) {
        Activity outer = current;
        switchTo(activity);
        try {
            return action.get();
        } finally {
            switchTo(outer);
        }
    }

    private void switchTo(Activity next) {
        long nowNanos = threadNanos.getAsLong();
        if (started) {
            spentNanos.merge(current, nowNanos - activityStartNanos, Long::sum);
        }
        started = true;
        activityStartNanos = nowNanos;
        current = next;
    }

    /** Time spent on an activity, in milliseconds. */
    public long spentMs(Activity activity) {
        return TimeUnit.NANOSECONDS.toMillis(spentNanos.get(activity));
    }

    /** Time that all threads of the process have spent, in milliseconds; empty if the system does not report it. */
    public static OptionalLong ofProcessMs() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(spent -> OptionalLong.of(spent.toMillis()))
                .orElseGet(OptionalLong::empty);
    }
}
