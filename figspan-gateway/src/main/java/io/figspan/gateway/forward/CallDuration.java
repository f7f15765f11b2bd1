package io.figspan.gateway.forward;

import io.figspan.policy.drain.RequestProfile;
import io.figspan.policy.drain.RequestTiming;
import java.util.Optional;

/** The course of one request, which is recorded for the estimates of a planned stop. Confined to the event loop. */
final class CallDuration {
    private final DrainControl drain;
    private final RequestProfile profile;
    private final long arrivedNanos;
    private Optional<RequestTiming.Events> events = Optional.empty();
    private boolean slowedByCaller;

    CallDuration(DrainControl drain, RequestProfile profile, long arrivedNanos) {
        this.drain = drain;
        this.profile = profile;
        this.arrivedNanos = arrivedNanos;
    }

    RequestProfile profile() {
        return profile;
    }

    /** This many events of the response have arrived that are progress. */
    void eventsArrived(long progressEvents, long nowNanos) {
        if (progressEvents == 0) {
            return;
        }
        long sinceArrivalNanos = nowNanos - arrivedNanos;
        RequestTiming.Events before =
                events.orElseGet(() -> new RequestTiming.Events(sinceArrivalNanos, sinceArrivalNanos, 0));
        events = Optional.of(
                new RequestTiming.Events(before.firstNanos(), sinceArrivalNanos, before.count() + progressEvents));
    }

    /** The caller doesn't read as fast as the response arrives, so its duration says nothing about other requests. */
    void slowedByCaller() {
        slowedByCaller = true;
    }

    /** The response is complete. */
    void answered(long nowNanos) {
        if (!slowedByCaller) {
            drain.recordAnswered(profile, timing(nowNanos));
        }
    }

    /** The request has no complete response by now, whether it goes on or is given up. */
    void unfinished(long nowNanos) {
        if (!slowedByCaller) {
            drain.recordUnfinished(profile, timing(nowNanos));
        }
    }

    private RequestTiming timing(long nowNanos) {
        return new RequestTiming(nowNanos - arrivedNanos, events);
    }
}
