package io.figspan.wire;

import io.figspan.cluster.message.PeerMessage;

/** One open connection to a peer. */
@FunctionalInterface
public interface PeerLink {
    /** Sends a message; false when the connection is closed or its send queue is full, and the message is dropped. */
    boolean send(PeerMessage message);
}
