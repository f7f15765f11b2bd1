package io.figspan.core.event;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/** Thread-safe ring buffer of the latest timeline events of one process. When full, it drops the oldest event. */
public final class TimelineRing {
    public static final int DEFAULT_CAPACITY_EVENTS = 16_384;

    private final int capacityEvents;
    private final Deque<TimelineEvent> events = new ArrayDeque<>();

    public TimelineRing(int capacityEvents) {
        this.capacityEvents = capacityEvents;
    }

    public synchronized void add(TimelineEvent event) {
        if (events.size() >= capacityEvents) {
            events.removeFirst();
        }
        events.addLast(event);
    }

    /** Returns the events that match {@code filter}, oldest first. */
    public synchronized List<TimelineEvent> select(Predicate<TimelineEvent> filter) {
        return events.stream().filter(filter).toList();
    }
}
