package io.figspan.wire;

import io.figspan.cluster.message.Peer;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.function.Consumer;
import javax.crypto.Mac;

/**
 * Frames and authenticates the messages of one connection; does no I/O. The acceptor sends its hello first. A frame is
 * the 4-byte length of the body, the body, and the first 16 bytes of an HMAC-SHA-256 over the direction, both nonces,
 * the sender's incarnation, the sequence number of the frame in its direction and the body. The sequence number is not
 * sent, because TCP preserves the order; verification therefore fails for a replayed, dropped or reordered frame.
 */
final class FrameChannel {
    static final int LENGTH_BYTES = 4;
    static final int HMAC_BYTES = 16;

    private static final byte FROM_ACCEPTOR = 's';
    private static final byte FROM_CONNECTOR = 'c';

    /** Bytes needed to read the message kind: the codes in use are encoded as one MessagePack byte. */
    private static final int KIND_BYTES = 1;

    private final Mac mac;
    private final boolean acceptor;
    private final Hello local;
    private Hello remote;
    private long sentFrames;
    private long receivedFrames;
    private byte[] pending = new byte[0];

    FrameChannel(PeerKey key, boolean acceptor, Hello local) {
        this.mac = key.newMac();
        this.acceptor = acceptor;
        this.local = local;
    }

    boolean isOpen() {
        return remote != null;
    }

    /** The authenticated remote peer. Must be called only after the channel is open. */
    Peer remotePeer() {
        return remote.sender();
    }

    /** Returns the hello frame of this side. A connector must call it only after receiving the acceptor's hello. */
    byte[] sealHello() {
        return seal(FrameCodec.encodeHello(local));
    }

    byte[] seal(byte[] body) {
        byte[] hmac = computeHmac(acceptor, local, sentFrames, body);
        sentFrames++;
        return ByteBuffer.allocate(LENGTH_BYTES + body.length + HMAC_BYTES)
                .putInt(body.length)
                .put(body)
                .put(hmac, 0, HMAC_BYTES)
                .array();
    }

    /**
     * Decodes received bytes and passes the body of each complete frame to {@code bodies}. The hello of the remote peer
     * is consumed and opens the channel. Throws a {@code FRAME_REFUSED} exception on the first invalid frame; the
     * caller must then close the connection.
     */
    void receive(byte[] bytes, Consumer<byte[]> bodies) {
        ByteBuffer input = prependPending(bytes);
        while (true) {
            byte[] body = nextBody(input);
            if (body == null) {
                break;
            }
            if (remote == null) {
                remote = FrameCodec.decodeHello(body);
            } else {
                bodies.accept(body);
            }
        }
        pending = new byte[input.remaining()];
        input.get(pending);
    }

    private ByteBuffer prependPending(byte[] bytes) {
        if (pending.length == 0) {
            return ByteBuffer.wrap(bytes);
        }
        ByteBuffer joined = ByteBuffer.allocate(pending.length + bytes.length);
        joined.put(pending).put(bytes).flip();
        return joined;
    }

    private byte[] nextBody(ByteBuffer input) {
        if (input.remaining() < LENGTH_BYTES + KIND_BYTES) {
            return null;
        }
        int length = input.getInt(input.position());
        requireAllowedLength(length, input.get(input.position() + LENGTH_BYTES));
        if (input.remaining() < LENGTH_BYTES + length + HMAC_BYTES) {
            return null;
        }
        input.getInt();
        byte[] body = new byte[length];
        input.get(body);
        byte[] receivedHmac = new byte[HMAC_BYTES];
        input.get(receivedHmac);
        verifyHmac(body, receivedHmac);
        receivedFrames++;
        return body;
    }

    /** Checks the length before the body arrives, so that an unauthenticated length can't make this side buffer it. */
    private void requireAllowedLength(int length, byte kindCode) {
        if (length < 1) {
            throw FrameCodec.refused("length " + length);
        }
        if (remote == null) {
            if (length > Hello.MAX_BODY_BYTES) {
                throw FrameCodec.refused("first frame of " + length + " bytes exceeds the limit for a hello");
            }
            return;
        }
        MessageKind kind =
                MessageKind.ofCode(kindCode).orElseThrow(() -> FrameCodec.refused("unknown message kind " + kindCode));
        if (length > kind.maxBodyBytes()) {
            throw FrameCodec.refused(kind + " has " + length + " bytes, more than the limit of " + kind.maxBodyBytes());
        }
    }

    private void verifyHmac(byte[] body, byte[] receivedHmac) {
        byte[] expectedHmac = new byte[HMAC_BYTES];
        Hello sender = remote == null ? FrameCodec.decodeHello(body) : remote;
        System.arraycopy(computeHmac(!acceptor, sender, receivedFrames, body), 0, expectedHmac, 0, HMAC_BYTES);
        if (!MessageDigest.isEqual(expectedHmac, receivedHmac)) {
            throw FrameCodec.refused("HMAC mismatch: peer keys differ, or a frame was altered, replayed or lost");
        }
    }

    /** Covers both nonces, except in the acceptor's hello: the acceptor does not know the connector's nonce yet. */
    private byte[] computeHmac(boolean fromAcceptor, Hello sender, long sequence, byte[] body) {
        Hello acceptorHello = acceptor ? local : remote;
        Hello connectorHello = acceptor ? remote : local;
        mac.update(fromAcceptor ? FROM_ACCEPTOR : FROM_CONNECTOR);
        if (fromAcceptor && sequence == 0) {
            mac.update(sender.nonce().unsafeArray());
        } else if (sequence == 0) {
            mac.update(acceptorHello.nonce().unsafeArray());
            mac.update(sender.nonce().unsafeArray());
        } else {
            mac.update(acceptorHello.nonce().unsafeArray());
            mac.update(connectorHello.nonce().unsafeArray());
        }
        mac.update(sender.sender().incarnation().toString().getBytes(StandardCharsets.UTF_8));
        mac.update(ByteBuffer.allocate(1 + Long.BYTES).putLong(sequence).array());
        return mac.doFinal(body);
    }
}
