package io.figspan.wire;

import io.figspan.cluster.message.Peer;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.function.Consumer;
import javax.crypto.Mac;

/**
 * Authenticated frames of one connection, without a socket. The acceptor speaks first. A frame is a 4-byte length of
 * the body, the body, and the first 16 bytes of an HMAC-SHA-256 over the direction, both nonces, the sender's
 * incarnation, the number of the frame in its direction and the body. The number is not sent, because TCP keeps the
 * order; a replayed, dropped or reordered frame therefore has a wrong HMAC.
 */
final class FrameChannel {
    static final int LENGTH_BYTES = 4;
    static final int HMAC_BYTES = 16;

    private static final byte FROM_ACCEPTOR = 's';
    private static final byte FROM_CONNECTOR = 'c';

    /** Bytes needed to read the kind of a body: the kinds in use fit in one MessagePack byte. */
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

    /** The other side; only valid once the channel is open. */
    Peer remotePeer() {
        return remote.sender();
    }

    /** The hello frame of this side. A connector sends it after it has received the acceptor's. */
    byte[] sealHello() {
        return seal(FrameCodec.encodeHello(local));
    }

    byte[] seal(byte[] body) {
        byte[] hmac = hmac(acceptor, local, sentFrames, body);
        sentFrames++;
        return ByteBuffer.allocate(LENGTH_BYTES + body.length + HMAC_BYTES)
                .putInt(body.length)
                .put(body)
                .put(hmac, 0, HMAC_BYTES)
                .array();
    }

    /**
     * Takes received bytes and passes on the body of each complete frame. The hello of the other side is consumed and
     * opens the channel. Throws a {@code FRAME_REFUSED} exception on the first bad frame; the caller then closes the
     * connection.
     */
    void receive(byte[] bytes, Consumer<byte[]> bodies) {
        ByteBuffer input = join(bytes);
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

    private ByteBuffer join(byte[] bytes) {
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
        requireAllowed(length, input.get(input.position() + LENGTH_BYTES));
        if (input.remaining() < LENGTH_BYTES + length + HMAC_BYTES) {
            return null;
        }
        input.getInt();
        byte[] body = new byte[length];
        input.get(body);
        byte[] received = new byte[HMAC_BYTES];
        input.get(received);
        requireAuthentic(body, received);
        receivedFrames++;
        return body;
    }

    /** Checked before the body arrives, so that a foreign length never makes this side buffer megabytes. */
    private void requireAllowed(int length, byte kindCode) {
        if (length < 1) {
            throw FrameCodec.refused("length " + length);
        }
        if (remote == null) {
            if (length > Hello.MAX_BODY_BYTES) {
                throw FrameCodec.refused("first frame of " + length + " bytes is no hello");
            }
            return;
        }
        MessageKind kind =
                MessageKind.ofCode(kindCode).orElseThrow(() -> FrameCodec.refused("unknown message kind " + kindCode));
        if (length > kind.maxBodyBytes()) {
            throw FrameCodec.refused(kind + " has " + length + " bytes, more than " + kind.maxBodyBytes());
        }
    }

    private void requireAuthentic(byte[] body, byte[] received) {
        byte[] expected = new byte[HMAC_BYTES];
        Hello sender = remote == null ? FrameCodec.decodeHello(body) : remote;
        System.arraycopy(hmac(!acceptor, sender, receivedFrames, body), 0, expected, 0, HMAC_BYTES);
        if (!MessageDigest.isEqual(expected, received)) {
            throw FrameCodec.refused("HMAC is wrong: another key, a replayed frame or a changed one");
        }
    }

    /** The acceptor's hello can't cover the connector's nonce, which it does not know yet; all other frames do. */
    private byte[] hmac(boolean fromAcceptor, Hello sender, long number, byte[] body) {
        Hello acceptorHello = acceptor ? local : remote;
        Hello connectorHello = acceptor ? remote : local;
        mac.update(fromAcceptor ? FROM_ACCEPTOR : FROM_CONNECTOR);
        if (fromAcceptor && number == 0) {
            mac.update(sender.nonce().unsafeArray());
        } else if (number == 0) {
            mac.update(acceptorHello.nonce().unsafeArray());
            mac.update(sender.nonce().unsafeArray());
        } else {
            mac.update(acceptorHello.nonce().unsafeArray());
            mac.update(connectorHello.nonce().unsafeArray());
        }
        mac.update(sender.sender().incarnation().toString().getBytes(StandardCharsets.UTF_8));
        mac.update(ByteBuffer.allocate(1 + Long.BYTES).putLong(number).array());
        return mac.doFinal(body);
    }
}
