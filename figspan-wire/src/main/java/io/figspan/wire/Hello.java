package io.figspan.wire;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.Peer;

/**
 * First frame in each direction of a connection. The HMAC of each later frame covers both nonces and the sender's
 * incarnation, so a frame of another connection or another sender is refused.
 */
record Hello(int protocol, Bytes nonce, Peer sender) {
    /** Raised when two releases can't read each other's frames. */
    static final int PROTOCOL = 1;

    static final int NONCE_BYTES = 16;

    /** A hello has a nonce and one peer, so a longer first frame is foreign. */
    static final int MAX_BODY_BYTES = 512;
}
