package io.figspan.wire;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.Peer;

/**
 * Handshake message: the first frame in each direction of a connection. The HMAC of each later frame covers both nonces
 * and the sender's incarnation, so a frame from another connection or another sender is refused.
 */
record Hello(int protocol, Bytes nonce, Peer sender) {
    /** Protocol version; incremented when a release can't decode the frames of the previous one. */
    static final int PROTOCOL = 2;

    static final int NONCE_BYTES = 16;

    /** A hello holds only a nonce and one peer, so a longer first frame was not sent by a host. */
    static final int MAX_BODY_BYTES = 512;
}
