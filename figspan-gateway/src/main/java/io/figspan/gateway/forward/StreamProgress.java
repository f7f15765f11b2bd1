package io.figspan.gateway.forward;

import io.figspan.gateway.http.EventBatch;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a stream that a server still writes makes progress. Only events with data or a new id are progress;
 * a server that sends anything else without end, or for longer than its caller waits, is faulty. A server that sends
 * nothing is none of this class's business, since a sound one may be silent. Times are monotonic, in nanoseconds.
 */
final class StreamProgress {
    /** Longest filler between two events; servers send a comment of a few bytes now and then. */
    static final int MAX_FILLER_BYTES = 16 * 1_024;

    private final long maxGapNanos;
    private long lastProgressNanos;
    private long fillerBytes;

    /**
     * Creates the progress of one attempt, which begins with {@link #restart}.
     *
     * @param maxGapNanos longest time without progress for which callers wait
     */
    StreamProgress(long maxGapNanos) {
        this.maxGapNanos = maxGapNanos;
    }

    /**
     * Bytes were read.
     *
     * @param events the events that are complete now
     * @return why the attempt must end; empty if it goes on
     */
    Optional<String> received(Optional<EventBatch> events, long nowNanos) {
        if (events.filter(EventBatch::hasProgress).isPresent()) {
            lastProgressNanos = nowNanos;
            fillerBytes = 0;
        }
        fillerBytes += events.map(EventBatch::trailingFillerBytes).orElse(0);
        if (fillerBytes > MAX_FILLER_BYTES) {
            return Optional.of("more than " + MAX_FILLER_BYTES + " bytes without an event");
        }
        long gapNanos = nowNanos - lastProgressNanos;
        if (gapNanos > maxGapNanos) {
            return Optional.of("bytes, but no event for " + TimeUnit.NANOSECONDS.toMillis(gapNanos) + " ms");
        }
        return Optional.empty();
    }

    /** The response begins, or reading goes on after a pause for a slow caller. */
    void restart(long nowNanos) {
        lastProgressNanos = nowNanos;
    }
}
