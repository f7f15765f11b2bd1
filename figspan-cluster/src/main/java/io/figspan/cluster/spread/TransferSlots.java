package io.figspan.cluster.spread;

import io.figspan.cluster.message.PeerAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the hosts that read large parts from this host at the same time. Few readers finish early and then serve
 * others; many share the link and finish late.
 */
final class TransferSlots {
    /** With a second reader the link stays busy while the first one's request is under way. */
    static final int MAX_READERS = 2;

    /** A reader that has requested nothing for this time has given up or died. */
    private static final long IDLE_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Map<PeerAddress, Long> lastRequestNanos = new HashMap<>();

    /** Whether the reader may transfer a part now; a reader that was admitted before keeps its slot. */
    boolean admit(PeerAddress reader, long nowNanos) {
        boolean admitted = hasFree(nowNanos) || lastRequestNanos.containsKey(reader);
        if (!admitted) {
            return false;
        }
        lastRequestNanos.put(reader, nowNanos);
        return true;
    }

    boolean hasFree(long nowNanos) {
        lastRequestNanos.values().removeIf(atNanos -> nowNanos - atNanos >= IDLE_LIMIT_NANOS);
        return lastRequestNanos.size() < MAX_READERS;
    }

    void release(PeerAddress reader) {
        lastRequestNanos.remove(reader);
    }
}
