package io.figspan.core.event;

import io.figspan.core.id.HostId;
import io.figspan.core.time.HybridTimestamp;

/**
 * One event on the time line.
 *
 * @param requestId the request that the event belongs to, or an empty string
 */
public record TimelineEvent(
        HybridTimestamp timestamp, HostId host, Part part, String kind, String requestId, String text) {
    public TimelineEvent {
        requestId = requestId == null ? "" : requestId;
        text = text == null ? "" : text;
    }
}
