package io.figspan.wire;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.time.HybridTimestamp;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes datagrams between hosts: a MessagePack sequence of the protocol version, the sender and a message
 * body of {@link FrameCodec} as binary. Only for messages that are sent repeatedly, so that a lost one does no harm.
 */
public final class DatagramCodec {
    /** Protocol version; incremented with each message change that older processes can't decode. */
    private static final int PROTOCOL = 4;

    private DatagramCodec() {}

    /** A received message and its sender. */
    public record Received(Peer from, PeerMessage message) {}

    public static byte[] encode(Peer from, PeerMessage message) {
        byte[] body = FrameCodec.encode(message, HybridTimestamp.ZERO);
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(PROTOCOL);
            new MessageWriter(packer).writePeer(from);
            packer.packBinaryHeader(body.length);
            packer.writePayload(body);
            return packer.toByteArray();
        } catch (IOException e) {
            throw FrameCodec.refused("cannot encode datagram: " + e.getMessage());
        }
    }

    /** Decodes a datagram. Throws a {@link FigspanException} for anything but one whole message. */
    public static Received decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int protocol = unpacker.unpackInt();
            if (protocol != PROTOCOL) {
                throw FrameCodec.refused("protocol " + protocol + " instead of " + PROTOCOL);
            }
            MessageReader reader = new MessageReader(unpacker, bytes.length);
            Peer from = reader.readPeer();
            byte[] body = reader.readBytes().toArray();
            return new Received(from, FrameCodec.decode(body).message());
        } catch (IOException | MessagePackException e) {
            throw FrameCodec.refused("malformed datagram: " + e.getMessage());
        } catch (FigspanException e) {
            throw e.kind() == ProblemKind.FRAME_REFUSED ? e : FrameCodec.refused("malformed datagram: " + e.detail());
        }
    }
}
