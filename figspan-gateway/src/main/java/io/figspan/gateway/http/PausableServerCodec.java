package io.figspan.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.List;

/**
 * Decodes the requests of one connection one at a time and encodes the responses. While a request is answered, what has
 * arrived behind it stays undecoded, because a decoded request takes many times its bytes.
 */
public final class PausableServerCodec
        extends CombinedChannelDuplexHandler<PausableServerCodec.Decoder, PausableServerCodec.Encoder> {
    private ChannelHandlerContext context;
    private boolean decoding;
    private boolean paused;
    private boolean isHeadRequest;

    public PausableServerCodec(HttpDecoderConfig config) {
        init(new Decoder(config), new Encoder());
    }

    /** Decodes no further message until {@link #resume}. */
    public void pause() {
        paused = true;
    }

    public boolean isPaused() {
        return paused;
    }

    /** Decodes what has arrived since the pause; at once, unless the decoder itself is the caller and goes on. */
    public void resume() {
        paused = false;
        if (!decoding && context != null) {
            channelRead(context, Unpooled.EMPTY_BUFFER);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        context = ctx;
        super.handlerAdded(ctx);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        decoding = true;
        try {
            super.channelRead(ctx, bytes);
        } catch (Exception e) {
            ctx.fireExceptionCaught(e);
        } finally {
            decoding = false;
        }
    }

    /** Number of bytes that have arrived and that are not decoded. */
    public int undecodedBytes() {
        return inboundHandler().undecodedBytes();
    }

    final class Decoder extends HttpRequestDecoder {
        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
            if (!paused) {
                super.decode(ctx, buffer, out);
            }
            for (Object message : out) {
                if (message instanceof HttpRequest request) {
                    isHeadRequest = request.method().equals(HttpMethod.HEAD);
                }
            }
        }

        int undecodedBytes() {
            return actualReadableBytes();
        }
    }

    final class Encoder extends HttpResponseEncoder {
        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            boolean isFinal = response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
            return (isHeadRequest && isFinal) || super.isContentAlwaysEmpty(response);
        }
    }
}
