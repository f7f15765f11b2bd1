package io.figspan.wire;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.time.HybridTimestamp;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes frame bodies: a MessagePack sequence of message kind, hybrid timestamp (milliseconds and counter)
 * and the fields of the message. {@link FrameChannel} adds the length and the HMAC.
 */
public final class FrameCodec {
    private static final Location LOCATION = Location.of("frame");

    private FrameCodec() {}

    /** A decoded body: the message and the time at which it was sent. */
    public record Decoded(HybridTimestamp timestamp, PeerMessage message) {}

    /** Encodes a message. Throws a {@code FRAME_REFUSED} exception if it is larger than its kind allows. */
    public static byte[] encode(PeerMessage message, HybridTimestamp timestamp) {
        MessageKind kind = MessageKind.of(message);
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(kind.code());
            packer.packLong(timestamp.wallMs());
            packer.packInt(timestamp.counter());
            new MessageWriter(packer).write(message);
            byte[] body = packer.toByteArray();
            if (body.length > kind.maxBodyBytes()) {
                throw refused(kind + " has " + body.length + " bytes, more than the limit of " + kind.maxBodyBytes());
            }
            return body;
        } catch (IOException e) {
            throw refused("cannot encode message: " + e.getMessage());
        }
    }

    /** Decodes a body. Throws a {@code FRAME_REFUSED} exception for anything but exactly one complete message. */
    public static Decoded decode(byte[] body) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            int code = unpacker.unpackInt();
            MessageKind kind = MessageKind.ofCode(code).orElseThrow(() -> refused("unknown message kind " + code));
            if (body.length > kind.maxBodyBytes()) {
                throw refused(kind + " has " + body.length + " bytes, more than the limit of " + kind.maxBodyBytes());
            }
            HybridTimestamp timestamp = new HybridTimestamp(unpacker.unpackLong(), unpacker.unpackInt());
            PeerMessage message = new MessageReader(unpacker, body.length).read(kind);
            requireEnd(unpacker, body.length);
            return new Decoded(timestamp, message);
        } catch (IOException | MessagePackException e) {
            throw refused("malformed body: " + e.getMessage());
        } catch (FigspanException e) {
            throw e.kind() == ProblemKind.FRAME_REFUSED ? e : refused("malformed body: " + e.detail());
        }
    }

    static byte[] encodeHello(Hello hello) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            MessageWriter writer = new MessageWriter(packer);
            packer.packInt(hello.protocol());
            writer.writeBytes(hello.nonce());
            writer.writePeer(hello.sender());
            return packer.toByteArray();
        } catch (IOException e) {
            throw refused("cannot encode hello: " + e.getMessage());
        }
    }

    static Hello decodeHello(byte[] body) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            MessageReader reader = new MessageReader(unpacker, body.length);
            int protocol = unpacker.unpackInt();
            if (protocol != Hello.PROTOCOL) {
                throw refused("protocol " + protocol + " instead of " + Hello.PROTOCOL);
            }
            Bytes nonce = reader.readBytes();
            if (nonce.size() != Hello.NONCE_BYTES) {
                throw refused("nonce of " + nonce.size() + " bytes");
            }
            Hello hello = new Hello(protocol, nonce, reader.readPeer());
            requireEnd(unpacker, body.length);
            return hello;
        } catch (IOException | MessagePackException e) {
            throw refused("malformed hello: " + e.getMessage());
        } catch (FigspanException e) {
            throw e.kind() == ProblemKind.FRAME_REFUSED ? e : refused("malformed hello: " + e.detail());
        }
    }

    private static void requireEnd(MessageUnpacker unpacker, int bodyBytes) {
        if (unpacker.getTotalReadBytes() != bodyBytes) {
            throw refused("trailing bytes after the message");
        }
    }

    static FigspanException refused(String detail) {
        return new FigspanException(ProblemKind.FRAME_REFUSED, detail, LOCATION);
    }
}
