package io.figspan.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.time.HybridTimestamp;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against accepting frames that are forged, altered, replayed, reflected, oversized or out of sequence. */
class FrameChannelTest {
    private static final PeerKey KEY = PeerKey.of("0123456789abcdef".getBytes(java.nio.charset.StandardCharsets.UTF_8));
    private static final PeerKey OTHER_KEY =
            PeerKey.of("fedcba9876543210".getBytes(java.nio.charset.StandardCharsets.UTF_8));
    private static final byte[] BODY =
            FrameCodec.encode(new PeerMessage.SettingsOffer(new SettingsVersion(7)), HybridTimestamp.ZERO);

    private FrameChannel acceptor;
    private FrameChannel connector;
    private byte[] connectorHello;

    @BeforeEach
    void completeHandshake() {
        acceptor = new FrameChannel(KEY, true, hello("a", 1));
        connector = new FrameChannel(KEY, false, hello("b", 2));
        assertEquals(List.of(), receive(connector, acceptor.sealHello()));
        connectorHello = connector.sealHello();
        assertEquals(List.of(), receive(acceptor, connectorHello));
    }

    @Test
    void framesPassInBothDirectionsEvenByteByByte() {
        assertTrue(acceptor.isOpen() && connector.isOpen());
        assertEquals(HostId.of("b"), acceptor.remotePeer().host());
        List<byte[]> bodies = new ArrayList<>();
        for (byte b : connector.seal(BODY)) {
            acceptor.receive(new byte[] {b}, bodies::add);
        }
        bodies.addAll(receive(connector, acceptor.seal(BODY)));
        assertEquals(2, bodies.size());
        bodies.forEach(body -> assertArrayEquals(BODY, body));
    }

    @Test
    void aReplayedFrameIsRefused() {
        byte[] frame = connector.seal(BODY);
        receive(acceptor, frame);
        assertRefused(acceptor, frame);
    }

    @Test
    void aDroppedFrameMakesTheNextOneRefused() {
        connector.seal(BODY);
        assertRefused(acceptor, connector.seal(BODY));
    }

    @Test
    void aFrameReflectedToItsSenderIsRefused() {
        assertRefused(connector, connector.seal(BODY));
    }

    @Test
    void aRecordedConnectionReplayedOnANewOneIsRefused() {
        FrameChannel later = new FrameChannel(KEY, true, hello("a", 3));
        assertRefused(later, connectorHello);
    }

    @Test
    void aHelloSealedWithAnotherKeyIsRefused() {
        FrameChannel fresh = new FrameChannel(KEY, true, hello("a", 4));
        FrameChannel otherKeyAcceptor = new FrameChannel(OTHER_KEY, true, hello("c", 5));
        assertRefused(new FrameChannel(KEY, false, hello("b", 6)), otherKeyAcceptor.sealHello());
        assertRefused(fresh, "GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    @Test
    void aChangedByteAnywhereInAFrameIsRefused() {
        byte[] frame = connector.seal(BODY);
        for (int i = FrameChannel.LENGTH_BYTES; i < frame.length; i++) {
            byte[] changed = frame.clone();
            changed[i] ^= 1;
            assertRefused(acceptor, changed);
        }
    }

    @Test
    void anOversizedLengthIsRefusedBeforeTheBodyArrives() {
        assertRefused(acceptor, header(MessageKind.MAX_CONTROL_BYTES + 1, MessageKind.PING));
        assertRefused(acceptor, header(MessageKind.MAX_PART_BYTES + 1, MessageKind.SETTINGS_PART));
        assertRefused(acceptor, header(-1, MessageKind.PING));
        assertEquals(List.of(), receive(acceptor, header(MessageKind.MAX_PART_BYTES, MessageKind.SETTINGS_PART)));
    }

    private static byte[] header(int length, MessageKind kind) {
        return ByteBuffer.allocate(5).putInt(length).put((byte) kind.code()).array();
    }

    private static List<byte[]> receive(FrameChannel channel, byte[] bytes) {
        List<byte[]> bodies = new ArrayList<>();
        channel.receive(bytes, bodies::add);
        return bodies;
    }

    private static void assertRefused(FrameChannel channel, byte[] bytes) {
        FigspanException refusal = assertThrows(FigspanException.class, () -> receive(channel, bytes));
        assertEquals(ProblemKind.FRAME_REFUSED, refusal.kind());
    }

    private static Hello hello(String host, int nonce) {
        byte[] bytes = new byte[Hello.NONCE_BYTES];
        bytes[0] = (byte) nonce;
        Peer peer = new Peer(
                new HostIncarnation(HostId.of(host), 1),
                AvailabilityZoneId.of("az1"),
                new PeerAddress("127.0.0.1", 7000));
        return new Hello(Hello.PROTOCOL, Bytes.wrap(bytes), peer);
    }
}
