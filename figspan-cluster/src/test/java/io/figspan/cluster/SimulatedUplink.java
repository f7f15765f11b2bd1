package io.figspan.cluster;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Sending side of a host's network link in logical time. Frames to one receiver keep their order; receivers share the
 * bandwidth in turn, as parallel TCP connections do.
 */
final class SimulatedUplink {
    /** Frames that would exceed this queue of one connection are dropped, as by {@code PeerConnection}. */
    private static final int MAX_QUEUED_BYTES = 5 * 1024 * 1024;

    private static final int QUANTUM_BYTES = 16_384;

    private final long bitsPerSecond;
    private final Scheduler scheduler;
    private final Map<Integer, Connection> connections = new HashMap<>();
    private final Deque<Connection> turns = new ArrayDeque<>();
    private boolean sending;
    private long sentBytes;

    /** Runs an action after a delay in logical time. */
    interface Scheduler {
        void schedule(long delayNanos, Runnable action);
    }

    private record Frame(int bytes, Runnable onSent) {}

    private static final class Connection {
        private final Queue<Frame> frames = new ArrayDeque<>();
        private int queuedBytes;
        private int sentBytesOfHead;
    }

    SimulatedUplink(long bitsPerSecond, Scheduler scheduler) {
        this.bitsPerSecond = bitsPerSecond;
        this.scheduler = scheduler;
    }

    long sentBytes() {
        return sentBytes;
    }

    /** Queues a frame; {@code onSent} runs when its last byte has left the host. */
    void send(int receiver, int bytes, Runnable onSent) {
        Connection connection = connections.computeIfAbsent(receiver, ignored -> new Connection());
        if (connection.queuedBytes + bytes > MAX_QUEUED_BYTES) {
            return;
        }
        if (connection.frames.isEmpty()) {
            turns.addLast(connection);
        }
        connection.frames.add(new Frame(bytes, onSent));
        connection.queuedBytes += bytes;
        sendNext();
    }

    private void sendNext() {
        if (sending || turns.isEmpty()) {
            return;
        }
        sending = true;
        Connection connection = turns.removeFirst();
        int bytes = Math.min(QUANTUM_BYTES, connection.frames.element().bytes() - connection.sentBytesOfHead);
        long sendNanos = TimeUnit.SECONDS.toNanos(1) * Byte.SIZE * bytes / bitsPerSecond;
        scheduler.schedule(sendNanos, () -> finishQuantum(connection, bytes));
    }

    private void finishQuantum(Connection connection, int bytes) {
        sending = false;
        sentBytes += bytes;
        connection.queuedBytes -= bytes;
        connection.sentBytesOfHead += bytes;
        if (connection.sentBytesOfHead == connection.frames.element().bytes()) {
            connection.sentBytesOfHead = 0;
            connection.frames.remove().onSent().run();
        }
        if (!connection.frames.isEmpty()) {
            turns.addLast(connection);
        }
        sendNext();
    }
}
