package io.figspan.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.FullHttpRequest;

/** Writes the request of one exchange, at once or when its connection is established, and knows how far that is. */
final class RequestWriter {
    private FullHttpRequest pending;
    private ChannelFuture written;

    /** Keeps a request until the connection is established. */
    void defer(FullHttpRequest request) {
        pending = request;
        written = null;
    }

    /** Whether a request is kept until the connection is established. */
    boolean isDeferred() {
        return pending != null;
    }

    /** Writes the deferred request. */
    void writeDeferred(Channel channel) {
        FullHttpRequest request = pending;
        pending = null;
        write(channel, request);
    }

    /** Writes a request. Its body stays referenced until it is written, since what is unsent takes as much memory. */
    void write(Channel channel, FullHttpRequest request) {
        ByteBuf body = request.content().retain();
        written = channel.writeAndFlush(request);
        written.addListener(ended -> body.release());
    }

    /** Releases the deferred request, if there is one. */
    void releaseDeferred() {
        if (pending != null) {
            pending.release();
            pending = null;
        }
    }

    InputState.RequestWrite state() {
        if (written == null || !written.isDone()) {
            return InputState.RequestWrite.PENDING;
        }
        return written.isSuccess() ? InputState.RequestWrite.WRITTEN : InputState.RequestWrite.FAILED;
    }

    boolean isWritten() {
        return state() == InputState.RequestWrite.WRITTEN;
    }

    /** Calls a listener when a request that was passed to {@link #write} is written or can't be. */
    void onEnd(ChannelFutureListener listener) {
        written.addListener(listener);
    }
}
