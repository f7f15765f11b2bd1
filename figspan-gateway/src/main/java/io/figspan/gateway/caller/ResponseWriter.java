package io.figspan.gateway.caller;

import io.figspan.gateway.http.Channels;
import io.figspan.gateway.http.ClientMemory;
import io.figspan.gateway.http.ClientMemory.Kind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;

/** Writes the responses on one connection of a caller, and closes the connection after the last of them. */
final class ResponseWriter {
    /** Time after the last response for which a caller may still send the rest of what it has begun to send. */
    private static final long MAX_LINGER_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final CallerServer server;
    private final Channel channel;
    private final int maxHeaderBytes;
    private final ClientMemory.Account memory;
    private PipelinedBytes pipelined;
    private boolean keepAlive = true;
    private boolean understandsChunks = true;
    private boolean isCloseDelimited;
    private boolean closing;
    private long closingNanos;
    private boolean mayReceiveMore;
    private long lastUnsentBytes;
    private long lastReadNanos;

    /**
     * Creates the writer of one connection.
     *
     * @param maxHeaderBytes limit for heads under which the connection was accepted
     */
    ResponseWriter(CallerServer server, Channel channel, int maxHeaderBytes, ClientMemory.Account memory) {
        this.server = server;
        this.channel = channel;
        this.maxHeaderBytes = maxHeaderBytes;
        this.memory = memory;
    }

    void setPipelined(PipelinedBytes pipelined) {
        this.pipelined = pipelined;
    }

    /** Sets whether the connection stays open after the response to the current request. */
    void setKeepAlive(boolean keepAlive) {
        this.keepAlive = keepAlive;
    }

    /** Sets the version of the current request: callers before HTTP/1.1 don't understand chunks (RFC 9112, 6.1). */
    void setRequestVersion(HttpVersion version) {
        understandsChunks = version.compareTo(HttpVersion.HTTP_1_1) >= 0;
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    /**
     * Closes the connection after the next response, which is written before its request has arrived completely. The
     * caller may still send the rest.
     */
    void closeAfterRefusal() {
        keepAlive = false;
        mayReceiveMore = true;
    }

    /** Whether the connection is closed or closes after what has been written. */
    boolean isClosing() {
        return closing;
    }

    // Writing

    void writeContinue() {
        Channels.writeAndFlush(
                channel,
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    /** Announces the close of the connection, but not before the requests that have been received are answered. */
    void setConnectionHeader(HttpResponse response) {
        boolean isDecoderOutdated = server.limits().maxHeaderBytes() != maxHeaderBytes;
        if ((server.isDraining() || isDecoderOutdated) && !pipelined.hasRequests()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Writes the head of a streamed response, which is chunked, or ends with the connection. */
    void begin(HttpResponse response) {
        if (!understandsChunks) {
            isCloseDelimited = true;
            keepAlive = false;
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
        setConnectionHeader(response);
        Channels.write(channel, response);
    }

    /** Writes a chunk of a streamed response. */
    void write(ByteBuf piece) {
        Channels.writeAndFlush(channel, new DefaultHttpContent(piece));
    }

    /** Writes the end of a response, after which the connection stays open. */
    void finish(Object lastMessage) {
        ChannelFuture written = channel.writeAndFlush(lastMessage);
        countUnread(written);
    }

    /** Counts what the caller has not read of a complete response, until all of it is written. */
    private void countUnread(ChannelFuture written) {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        if (written.isDone() || unsent == null) {
            return;
        }
        if (!memory.trySet(Kind.UNREAD_ANSWERS, unsent.totalPendingWriteBytes())) {
            Channels.close(channel);
            return;
        }
        written.addListener(ignored -> {
            if (!hasUnsentBytes()) {
                memory.release(Kind.UNREAD_ANSWERS);
            }
        });
    }

    /** Writes the end of the last response, and closes the connection. */
    void finishAndClose(Object lastMessage, long nowNanos) {
        closing = true;
        closingNanos = nowNanos;
        mayReceiveMore |= !pipelined.isEmpty();
        ChannelFuture written = channel.writeAndFlush(lastMessage);
        countUnread(written);
        if (mayReceiveMore) {
            written.addListener((ChannelFuture sent) -> shutdownOutput(sent));
        } else {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /**
     * Sends no more, but still reads until the caller closes the connection: closing it while bytes arrive would reset
     * it, and the caller could lose the response (RFC 9112, section 9.6).
     */
    private static void shutdownOutput(ChannelFuture written) {
        if (written.isSuccess() && written.channel() instanceof DuplexChannel duplex) {
            var unused = duplex.shutdownOutput();
            duplex.config().setAutoRead(true);
        } else {
            Channels.close(written.channel());
        }
    }

    boolean isWritable() {
        return channel.isWritable();
    }

    /** Whether the caller has not read fast enough for all bytes that were written. */
    boolean hasUnsentBytes() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent != null && !unsent.isEmpty();
    }

    // Closing

    /**
     * Closes the connection within a response. A response that ends with the connection is cut by a reset, since it
     * would look complete otherwise.
     */
    void abort() {
        closing = true;
        if (isCloseDelimited) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        if (server.isDraining() && hasUnsentBytes()) {
            closeAfterWrites();
        } else {
            Channels.close(channel);
        }
    }

    /** Closes the connection after the events that were forwarded, so that it doesn't end within one of them. */
    private void closeAfterWrites() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection without a response. */
    void close() {
        closing = true;
        Channels.close(channel);
    }

    /** The connection is closed. */
    void closed() {
        closing = true;
    }

    /** Whether the caller has read nothing of the last response for longer than a connection may be idle. */
    boolean isUnreadTooLong(long idleTimeoutMs, long nowNanos) {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        long unsentBytes = closing && unsent != null ? unsent.totalPendingWriteBytes() : 0;
        if (unsentBytes != lastUnsentBytes) {
            lastUnsentBytes = unsentBytes;
            lastReadNanos = nowNanos;
        }
        return unsentBytes > 0 && nowNanos - lastReadNanos > TimeUnit.MILLISECONDS.toNanos(idleTimeoutMs);
    }

    /** Whether the caller has not closed the connection in time after the last response. */
    boolean hasLingeredTooLong(long nowNanos) {
        return mayReceiveMore && closing && nowNanos - closingNanos > MAX_LINGER_NANOS;
    }
}
