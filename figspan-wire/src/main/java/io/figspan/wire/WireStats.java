package io.figspan.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counters of all peer connections of a process. Bytes are frame bytes, without TCP and IP headers. Thread-safe. */
public final class WireStats {
    private final LongAdder sentFrames = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedFrames = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder refusedFrames = new LongAdder();
    private final LongAdder droppedMessages = new LongAdder();
    private final LongAdder openedConnections = new LongAdder();

    /** Values of the counters; each is read separately, so they may be of slightly different times. */
    public record Snapshot(
            long sentFrames,
            long sentBytes,
            long receivedFrames,
            long receivedBytes,
            long refusedFrames,
            long droppedMessages,
            long openedConnections) {}

    void recordSentFrame(int bytes) {
        sentFrames.increment();
        sentBytes.add(bytes);
    }

    void recordReceivedFrames(int frames) {
        receivedFrames.add(frames);
    }

    void recordReceivedBytes(int bytes) {
        receivedBytes.add(bytes);
    }

    void recordRefusedFrame() {
        refusedFrames.increment();
    }

    void recordDroppedMessage() {
        droppedMessages.increment();
    }

    void recordOpenedConnection() {
        openedConnections.increment();
    }

    public Snapshot snapshot() {
        return new Snapshot(
                sentFrames.sum(),
                sentBytes.sum(),
                receivedFrames.sum(),
                receivedBytes.sum(),
                refusedFrames.sum(),
                droppedMessages.sum(),
                openedConnections.sum());
    }
}
