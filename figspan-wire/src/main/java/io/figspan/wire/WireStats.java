package io.figspan.wire;

import java.util.concurrent.atomic.LongAdder;

/** Counters of one process's peer connections. Bytes are those of frames, without TCP and IP headers. */
public final class WireStats {
    private final LongAdder sentFrames = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedFrames = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder refusedFrames = new LongAdder();
    private final LongAdder droppedMessages = new LongAdder();
    private final LongAdder openedConnections = new LongAdder();

    /** The counters at one moment. */
    public record Snapshot(
            long sentFrames,
            long sentBytes,
            long receivedFrames,
            long receivedBytes,
            long refusedFrames,
            long droppedMessages,
            long openedConnections) {}

    void sent(int bytes) {
        sentFrames.increment();
        sentBytes.add(bytes);
    }

    void receivedFrames(int frames) {
        receivedFrames.add(frames);
    }

    void receivedBytes(int bytes) {
        receivedBytes.add(bytes);
    }

    void refused() {
        refusedFrames.increment();
    }

    void dropped() {
        droppedMessages.increment();
    }

    void opened() {
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
