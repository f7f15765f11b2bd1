package io.figspan.bench.placing;

import java.util.PriorityQueue;

/** Logical time: actions run in the order of their times, those of one time in the order in which they were added. */
final class EventQueue {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private double nowMs;
    private long added;

    private record Event(double atMs, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    double nowMs() {
        return nowMs;
    }

    long nowNanos() {
        return (long) (nowMs * 1e6);
    }

    void after(double delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, added++, action));
    }

    /** Runs all actions up to a time. */
    void runUntil(double endMs) {
        while (!events.isEmpty() && events.peek().atMs <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.action.run();
        }
        nowMs = endMs;
    }
}
