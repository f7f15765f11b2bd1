package io.figspan.bench.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Events in logical time. Events at the same time run in the order in which they were added. */
public final class EventQueue {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long sequence;
    private long nowNanos;

    private record Event(long atNanos, long sequence, Runnable action) {}

    public long nowNanos() {
        return nowNanos;
    }

    public void after(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + delayNanos, sequence++, action));
    }

    /** Runs events up to and including a time. */
    public void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }
}
