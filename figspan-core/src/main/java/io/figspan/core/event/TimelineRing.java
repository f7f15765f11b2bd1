package io.figspan.core.event;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/** Bounded ring of the newest events of one process; the oldest event is dropped when it is full. */
public final class TimelineRing {
    /** Default capacity in events. */
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

    /** Events that match, oldest first. */
    public synchronized List<TimelineEvent> select(Predicate<TimelineEvent> filter) {
        return events.stream().filter(filter).toList();
    }
}
