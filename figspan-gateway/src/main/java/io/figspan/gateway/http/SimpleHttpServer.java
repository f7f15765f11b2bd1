package io.figspan.gateway.http;

import io.figspan.gateway.http.ClientMemory.Kind;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A minimal HTTP server for small endpoints such as readiness checks and metrics. The handler produces the whole
 * response on the event loop; request bodies are ignored.
 */
public final class SimpleHttpServer {
    /** Checks arrive once a second, so the client of a connection that is idle for longer than this is gone. */
    private static final long IDLE_TIMEOUT_S = 15;

    /** As many lines of four bytes as the decoder's limit of 8,192 bytes for a head admits. */
    private static final int MAX_HEADER_LINES = 2_048;

    /** Part of the descriptors that the connections of one port may use; four ports are open. */
    private static final int DESCRIPTOR_PARTS = 16;

    /** Part of the heap that each kind of memory of one port may use. */
    private static final int HEAP_PARTS = 32;

    private SimpleHttpServer() {}

    /** A response with an action for when it has been written or its connection is closed. */
    public record Reply(FullHttpResponse response, Runnable writtenListener) {}

    /** Binds the address and serves requests with the handler. */
    public static ChannelFuture listen(
            EventLoop loop, InetSocketAddress address, Function<HttpRequest, FullHttpResponse> handler) {
        return listenWithReplies(loop, address, request -> new Reply(handler.apply(request), () -> {}));
    }

    /** Binds the address and serves requests with a handler that is notified when a response has been written. */
    public static ChannelFuture listenWithReplies(
            EventLoop loop, InetSocketAddress address, Function<HttpRequest, Reply> handler) {
        Port port = new Port(handler);
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, Channels.boundedReads())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        port.accept(ch);
                    }
                })
                .bind(address);
    }

    /** What all connections of one port share. */
    private static final class Port {
        private final Function<HttpRequest, Reply> handler;
        private final ClientMemory memory =
                new ClientMemory(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
        private final int maxConnections = DescriptorLimit.ofProcess() / DESCRIPTOR_PARTS;

        /** The open connections, the one that was accepted first at the front. */
        private final Set<Channel> connections = new LinkedHashSet<>();

        Port(Function<HttpRequest, Reply> handler) {
            this.handler = handler;
        }

        /** Takes a connection. If there are too many, the oldest is closed. */
        private void accept(Channel channel) {
            if (connections.size() >= maxConnections) {
                Channel oldest = connections.iterator().next();
                connections.remove(oldest);
                Channels.close(oldest);
            }
            connections.add(channel);
            ClientMemory.Account account = memory.open(kind -> Channels.close(channel));
            var unused = channel.closeFuture().addListener(closed -> {
                connections.remove(channel);
                account.close();
            });
            HttpHeadersFactory lines = new MeteredHeadersFactory(account, MAX_HEADER_LINES);
            PausableServerCodec codec = new PausableServerCodec(
                    new HttpDecoderConfig().setHeadersFactory(lines).setTrailersFactory(lines));
            channel.pipeline().addLast(codec, new RequestHandler(handler, codec, account));
        }
    }

    /** Serves the requests of one connection. */
    private static final class RequestHandler extends ChannelInboundHandlerAdapter {
        private final Function<HttpRequest, Reply> handler;
        private final PausableServerCodec codec;
        private final ClientMemory.Account account;
        private ScheduledFuture<?> idleTimer;

        RequestHandler(Function<HttpRequest, Reply> handler, PausableServerCodec codec, ClientMemory.Account account) {
            this.handler = handler;
            this.codec = codec;
            this.account = account;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            restartIdleTimer(ctx);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleTimer.cancel(false);
        }

        private void restartIdleTimer(ChannelHandlerContext ctx) {
            if (idleTimer != null) {
                idleTimer.cancel(false);
            }
            idleTimer = ctx.executor().schedule(() -> Channels.close(ctx.channel()), IDLE_TIMEOUT_S, TimeUnit.SECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            restartIdleTimer(ctx);
            try {
                account.release(Kind.ARRIVING_HEADS);
                if (message instanceof HttpRequest request) {
                    respond(ctx, request);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        /** Bounds what arrives behind a request whose response is not read. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            int bytes = codec.undecodedBytes();
            boolean isCounted = account.trySet(Kind.UNDECODED_BYTES, bytes == 0 ? 0 : Channels.READ_BYTES);
            if (!isCounted) {
                Channels.close(ctx.channel());
            } else if (codec.isPaused() && bytes > 0) {
                ctx.channel().config().setAutoRead(false);
            }
        }

        /** The response is written to the network; the next request may be decoded. */
        private void responseWritten(ChannelHandlerContext ctx) {
            account.release(Kind.UNREAD_ANSWERS);
            codec.resume();
            if (!codec.isPaused()) {
                ctx.channel().config().setAutoRead(true);
            }
        }

        private void respond(ChannelHandlerContext ctx, HttpRequest request) {
            if (request.decoderResult().isFailure()) {
                Channels.close(ctx.channel());
                return;
            }
            Reply reply = handler.apply(request);
            FullHttpResponse response = reply.response();
            response.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            codec.pause();
            if (!account.trySet(Kind.UNREAD_ANSWERS, response.content().readableBytes())) {
                response.release();
                reply.writtenListener().run();
                Channels.close(ctx.channel());
                return;
            }
            ChannelFuture written = ctx.writeAndFlush(response);
            written.addListener(ignored -> reply.writtenListener().run());
            written.addListener(ignored -> responseWritten(ctx));
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            Channels.close(ctx.channel());
        }
    }
}
