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
import java.net.InetSocketAddress;
import java.util.function.Function;

/** Answers small requests at once, such as readiness checks and metrics. Bodies of requests are ignored. */
public final class SmallServer {
    private SmallServer() {}

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

        Answering(Function<HttpRequest, FullHttpResponse> handler) {
            this.handler = handler;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
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
