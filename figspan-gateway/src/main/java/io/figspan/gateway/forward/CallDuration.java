package io.figspan.gateway.forward;

import io.figspan.policy.drain.RequestProfile;
import io.figspan.policy.drain.RequestTiming;
import java.util.OptionalLong;

/** The course of one request, which is recorded for the estimates of a planned stop. Confined to the event loop. */
final class CallDuration {
    private final DrainControl drain;
    private final RequestProfile profile;
    private final long arrivedNanos;
    private OptionalLong firstEventNanos = OptionalLong.empty();
    private long events;

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
        if (progressEvents > 0 && firstEventNanos.isEmpty()) {
            firstEventNanos = OptionalLong.of(nowNanos - arrivedNanos);
        }
        events += progressEvents;
    }

    /** The response is complete. */
    void answered(long nowNanos) {
        drain.recordAnswered(profile, timing(nowNanos));
    }

    /** The request has no complete response by now, whether it goes on or is given up. */
    void unfinished(long nowNanos) {
        drain.recordUnfinished(profile, timing(nowNanos));
    }

    private RequestTiming timing(long nowNanos) {
        return new RequestTiming(nowNanos - arrivedNanos, firstEventNanos, events);
    }
}
