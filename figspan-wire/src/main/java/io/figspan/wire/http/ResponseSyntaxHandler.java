package io.figspan.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Stands before the HTTP decoder of a client connection, and passes on no bytes from a read with which they stopped
 * being a response: such a read raises {@link InvalidResponseException} instead. What follows a complete response in
 * the same read is dropped, and the connection is closed.
 */
public final class ResponseSyntaxHandler extends ChannelInboundHandlerAdapter {
    private final ResponseSyntax syntax = new ResponseSyntax();
    private boolean hasExcess;
    private boolean ended;

    /** A request is sent; the response to a HEAD request has no body. */
    public void expectResponse(boolean toHead) {
        syntax.expectResponse(toHead);
    }

    /** Whether the server has sent more than the response, so that the connection must not be used again. */
    public boolean hasExcess() {
        return hasExcess;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (ended) {
            bytes.release();
            return;
        }
        ResponseVerdict verdict = readAll(bytes);
        if (verdict instanceof ResponseVerdict.Invalid invalid) {
            ended = true;
            bytes.release();
            ctx.fireExceptionCaught(new InvalidResponseException(invalid));
            return;
        }
        ended = hasExcess;
        ctx.fireChannelRead(bytes);
        if (hasExcess) {
            var unused = ctx.close();
        }
    }

    /** Cuts what follows the end of the response. */
    private ResponseVerdict readAll(ByteBuf bytes) {
        var unread = bytes.nioBuffer();
        ResponseVerdict verdict = syntax.read(unread);
        if (verdict instanceof ResponseVerdict.Complete && unread.hasRemaining()) {
            hasExcess = true;
            bytes.writerIndex(bytes.writerIndex() - unread.remaining());
        }
        return verdict;
    }
}
