package io.figspan.gateway.forward;

import io.figspan.gateway.http.BudgetShare;
import io.figspan.gateway.http.ByteBudget;
import io.figspan.gateway.http.EventBatch;
import io.figspan.gateway.http.EventSplitter;
import io.netty.buffer.ByteBuf;
import java.util.Optional;

/** The events of one streamed response as they are read, and the bounds that a faulty server exceeds. */
final class EventStream {
    /** Maximum length of an event. Events have a few hundred bytes, so anything longer is not an event. */
    private static final int MAX_EVENT_BYTES = 256 * 1_024;

    private final EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);
    private final StreamProgress progress;
    private final BudgetShare partialEventShare;

    /**
     * Creates the stream of one attempt.
     *
     * @param maxGapNanos longest time without progress for which callers wait
     * @param budget memory for what servers have begun to send and not completed
     */
    EventStream(long maxGapNanos, ByteBudget budget) {
        this.progress = new StreamProgress(maxGapNanos);
        this.partialEventShare = new BudgetShare(budget);
    }

    /** The response begins, or reading goes on after a pause for a slow caller. */
    void restart(long nowNanos) {
        progress.restart(nowNanos);
    }

    /** Appends a copy of bytes that were read. */
    void append(ByteBuf bytes) {
        splitter.append(bytes);
    }

    /** Removes all complete events; empty if there is none. */
    Optional<EventBatch> takeComplete() {
        return splitter.takeComplete();
    }

    /**
     * Checks the bounds after each read.
     *
     * @param taken the events that were complete
     * @return why the attempt must end; empty if it goes on
     */
    Optional<String> exceededBound(Optional<EventBatch> taken, long nowNanos) {
        Optional<String> fault = progress.received(taken, nowNanos);
        if (fault.isPresent()) {
            return fault;
        }
        if (splitter.isEventTooLong()) {
            return Optional.of("event is too long");
        }
        return partialEventShare.tryResize(splitter.partialEventBytes())
                ? Optional.empty()
                : Optional.of("incomplete events and answers of all servers hold too much");
    }

    /** Whether the start of an incomplete event is buffered. */
    boolean hasPartialEvent() {
        return splitter.hasPartialEvent();
    }

    void release() {
        splitter.release();
        partialEventShare.release();
    }
}
