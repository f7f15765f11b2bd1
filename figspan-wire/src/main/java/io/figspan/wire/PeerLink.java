package io.figspan.wire;

import io.figspan.cluster.message.PeerMessage;

/** Sends messages over one connection to a peer. */
@FunctionalInterface
public interface PeerLink {
    /** Sends a message; returns false if it was dropped because the connection is closed or its send queue is full. */
    boolean send(PeerMessage message);
}
