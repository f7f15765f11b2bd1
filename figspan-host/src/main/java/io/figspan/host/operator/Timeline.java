package io.figspan.host.operator;

import io.figspan.core.event.Part;
import io.figspan.core.event.TimelineEvent;
import io.figspan.core.event.TimelineRing;
import io.figspan.core.id.HostId;
import io.figspan.core.time.HybridClock;
import java.util.List;
import java.util.function.Predicate;

/** The host's timeline: records events with the host's hybrid time. Safe for use by several threads. */
public final class Timeline {
    private final HostId host;
    private final HybridClock clock;
    private final TimelineRing ring = new TimelineRing(TimelineRing.DEFAULT_CAPACITY_EVENTS);

    public Timeline(HostId host, HybridClock clock) {
        this.host = host;
        this.clock = clock;
    }

    /** The clock that also stamps the messages to other hosts. */
    public HybridClock clock() {
        return clock;
    }

    /** Records an event; {@code requestId} is empty for an event of no request. */
    public void add(Part part, String kind, String requestId, String text) {
        ring.add(new TimelineEvent(clock.tick(), host, part, kind, requestId, text));
    }

    /** Events that match, oldest first. */
    public List<TimelineEvent> select(Predicate<TimelineEvent> filter) {
        return ring.select(filter);
    }
}
