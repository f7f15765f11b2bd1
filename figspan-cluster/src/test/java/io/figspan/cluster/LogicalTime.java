package io.figspan.cluster;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** Runs actions in the order of their logical times, and in the order in which they were added at the same time. */
public final class LogicalTime {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowNanos;
    private long nextOrder;

    private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    public long nowNanos() {
        return nowNanos;
    }

    /** Runs an action after a delay. */
    public void after(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + delayNanos, nextOrder++, action));
    }

    /** Runs an action again and again, the first time after one interval. */
    public void every(long intervalNanos, Runnable action) {
        after(intervalNanos, () -> {
            action.run();
            every(intervalNanos, action);
        });
    }

    /** Runs all actions that are due within this time. */
    public void runFor(long durationMs) {
        long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(durationMs);
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }
}
