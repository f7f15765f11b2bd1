package io.figspan.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
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

/** Answers small requests at once, such as readiness checks and metrics. Bodies of requests are ignored. */
public final class SimpleHttpServer {
    /** Checks come once a second; a connection without any for longer has lost its other side. */
    private static final long IDLE_LIMIT_S = 15;

    private SimpleHttpServer() {}

    public static ChannelFuture listen(
            EventLoop loop, InetSocketAddress address, Function<HttpRequest, FullHttpResponse> handler) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpServerCodec(), new Answering(handler));
                    }
                })
                .bind(address);
    }

    /** Answers the requests of one connection. */
    private static final class Answering extends ChannelInboundHandlerAdapter {
        private final Function<HttpRequest, FullHttpResponse> handler;
        private ScheduledFuture<?> idle;

        Answering(Function<HttpRequest, FullHttpResponse> handler) {
            this.handler = handler;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            restartIdleTimer(ctx);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.cancel(false);
        }

        private void restartIdleTimer(ChannelHandlerContext ctx) {
            if (idle != null) {
                idle.cancel(false);
            }
            idle = ctx.executor().schedule(() -> Channels.close(ctx.channel()), IDLE_LIMIT_S, TimeUnit.SECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            restartIdleTimer(ctx);
            try {
                if (message instanceof HttpRequest request) {
                    answer(ctx, request);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void answer(ChannelHandlerContext ctx, HttpRequest request) {
            if (request.decoderResult().isFailure()) {
                Channels.close(ctx.channel());
                return;
            }
            FullHttpResponse response = handler.apply(request);
            response.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            if (HttpUtil.isKeepAlive(request)) {
                Channels.writeAndFlush(ctx.channel(), response);
                return;
            }
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            Channels.close(ctx.channel());
        }
    }
}
