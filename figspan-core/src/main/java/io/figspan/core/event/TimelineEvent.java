package io.figspan.core.event;

import io.figspan.core.id.HostId;
import io.figspan.core.time.HybridTimestamp;

/**
 * One event of the timeline, which operators read to explain what happened to a request.
 *
 * @param host host that recorded the event
 * @param requestId request that the event belongs to, or an empty string
 * @param text details for people, or an empty string
 */
public record TimelineEvent(
        HybridTimestamp timestamp, HostId host, Part part, String kind, String requestId, String text) {
    public TimelineEvent {
        requestId = requestId == null ? "" : requestId;
        text = text == null ? "" : text;
    }
}
