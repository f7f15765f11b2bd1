package io.figspan.gateway.http;

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
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A minimal HTTP server for small endpoints such as readiness checks and metrics. The handler produces the whole
 * response on the event loop; request bodies are ignored.
 */
public final class SimpleHttpServer {
    /** Checks arrive once a second, so the client of a connection that is idle for longer than this is gone. */
    private static final long IDLE_TIMEOUT_S = 15;

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
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, Channels.boundedReads())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpServerCodec(), new RequestHandler(handler));
                    }
                })
                .bind(address);
    }

    /** Serves the requests of one connection. */
    private static final class RequestHandler extends ChannelInboundHandlerAdapter {
        private final Function<HttpRequest, Reply> handler;
        private ScheduledFuture<?> idleTimer;

        RequestHandler(Function<HttpRequest, Reply> handler) {
            this.handler = handler;
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
                if (message instanceof HttpRequest request) {
                    respond(ctx, request);
                }
            } finally {
                ReferenceCountUtil.release(message);
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
            ChannelFuture written = ctx.writeAndFlush(response);
            written.addListener(ignored -> reply.writtenListener().run());
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
