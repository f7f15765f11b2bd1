package io.figspan.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Stands before the HTTP decoder of a client connection, and passes on no bytes from a read with which they stopped
 * being a response: such a read raises {@link InvalidResponseException} instead.
 */
public final class ResponseSyntaxHandler extends ChannelInboundHandlerAdapter {
    private final ResponseSyntax syntax = new ResponseSyntax();
    private boolean ended;

    /** A request is sent. */
    public void expectResponse() {
        syntax.expectResponse();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (ended) {
            bytes.release();
            return;
        }
        if (syntax.read(bytes.nioBuffer()) instanceof ResponseVerdict.Invalid invalid) {
            ended = true;
            bytes.release();
            ctx.fireExceptionCaught(new InvalidResponseException(invalid));
            return;
        }
        ctx.fireChannelRead(bytes);
    }
}
