package io.figspan.gateway.peer;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.figspan.core.event.Part;
import io.figspan.gateway.http.Channels;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.Activity;
import io.figspan.gateway.metrics.ProcessorTime;
import io.figspan.wire.DatagramCodec;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

/** Sends and receives the UDP datagrams between hosts. All methods run on the event loop. */
final class PeerTransport {
    /** Largest datagram that is sent, and size of the receive buffer; fits IPv4. */
    static final int MAX_DATAGRAM_BYTES = 60_000;

    private final EventLoop loop;
    private final DecisionLog log;
    private final SocketAddressCache socketAddresses = new SocketAddressCache();
    private final ProcessorTime processorTime;
    private final BiConsumer<Peer, PeerMessage> listener;
    private Channel channel;

    PeerTransport(
            EventLoop loop, DecisionLog log, ProcessorTime processorTime, BiConsumer<Peer, PeerMessage> listener) {
        this.loop = loop;
        this.log = log;
        this.processorTime = processorTime;
        this.listener = listener;
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES).maxMessagesPerRead(1))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        processorTime.measure(Activity.PEER_RECEIVE, () -> receive(packet));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        log.warn(Part.WIRE, "peerPortError")
                                .text("reason", cause.getMessage())
                                .write();
                    }
                })
                .bind(address);
        channel = bound.channel();
        return bound;
    }

    /** Sends a message to each of the addresses. */
    void send(Peer self, PeerMessage message, Iterable<PeerAddress> addresses) {
        byte[] datagram = DatagramCodec.encode(self, message);
        if (datagram.length > MAX_DATAGRAM_BYTES) {
            log.warn(Part.WIRE, "datagramTooLong")
                    .number("bytes", datagram.length)
                    .write();
            return;
        }
        ByteBuf bytes = Unpooled.wrappedBuffer(datagram);
        for (PeerAddress address : addresses) {
            socketAddresses
                    .resolve(address)
                    .ifPresent(
                            to -> Channels.writeAndFlush(channel, new DatagramPacket(bytes.retainedDuplicate(), to)));
        }
        bytes.release();
    }

    private void receive(DatagramPacket packet) {
        try {
            DatagramCodec.Received received = DatagramCodec.decode(ByteBufUtil.getBytes(packet.content()));
            if (!isFromClaimedAddress(packet.sender(), received.from().address())) {
                logRefused(
                        packet, "the packet does not come from the address that its sender claims: " + received.from());
                return;
            }
            listener.accept(received.from(), received.message());
        } catch (FigspanException e) {
            logRefused(packet, e.detail());
        }
    }

    /**
     * Whether a packet came from the address that its sender claims; otherwise replies and reads could be directed to a
     * third party.
     */
    private boolean isFromClaimedAddress(InetSocketAddress sender, PeerAddress claimed) {
        return socketAddresses.resolve(claimed).filter(sender::equals).isPresent();
    }

    private void logRefused(DatagramPacket packet, String reason) {
        log.warn(Part.WIRE, "datagramRefused")
                .text("from", packet.sender())
                .text("reason", reason)
                .write();
    }
}
