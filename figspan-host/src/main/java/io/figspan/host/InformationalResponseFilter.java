package io.figspan.host;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Drops informational responses, which a client must read and may ignore (RFC 9110, section 15.2): the HTTP client
 * takes those that it doesn't know for the final response. Stands behind the decoder.
 */
final class InformationalResponseFilter extends ChannelInboundHandlerAdapter {
    private boolean dropping;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpResponse head) {
            dropping = head.decoderResult().isSuccess() && head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        }
        if (!dropping) {
            ctx.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        dropping = !(message instanceof LastHttpContent);
    }
}
