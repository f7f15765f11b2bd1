package io.figspan.gateway.http;

import io.figspan.wire.http.InvalidResponseException;
import io.figspan.wire.http.ResponseSyntaxHandler;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * An HTTP client connection that carries one exchange at a time. It closes itself if the server sends bytes while no
 * exchange is in progress. All methods must be called on its event loop.
 */
public final class HttpConnection extends ChannelInboundHandlerAdapter {
    /** Maximum length of a response head, including informational responses and empty lines before it. */
    private static final long MAX_HEAD_BYTES = 64 * 1_024;

    private final InetSocketAddress address;
    private final ResponseSyntaxHandler syntax = new ResponseSyntaxHandler();
    private final ResponseDecoder decoder = new ResponseDecoder();
    private Channel channel;
    private ExchangeListener activeListener;
    private final RequestWriter request = new RequestWriter();
    private final long connectStartNanos = System.nanoTime();
    private long connectNanos = Long.MAX_VALUE;
    private boolean connected;
    private boolean headReceived;
    private long headBytes;
    private boolean keepAlive;
    private InputState input = InputState.OPEN;
    private boolean awaitsRequestWrite;
    private boolean closed;
    private boolean hasCarriedRequest;
    private long idleSinceNanos;
    private long keepAliveNanos = Long.MAX_VALUE;

    private HttpConnection(InetSocketAddress address) {
        this.address = address;
    }

    /**
     * Starts to connect and returns at once; a request may be sent before the connection is established.
     *
     * @param connectTimeoutMs time after which the connection attempt fails
     */
    public static HttpConnection open(EventLoop loop, InetSocketAddress address, int connectTimeoutMs) {
        HttpConnection connection = new HttpConnection(address);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.RCVBUF_ALLOCATOR, Channels.boundedReads())
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        connection.new InboundGuard(),
                                        connection.syntax,
                                        connection.decoder,
                                        new HttpRequestEncoder(),
                                        connection);
                    }
                });
        ChannelFuture connecting = bootstrap.connect(address);
        connection.channel = connecting.channel();
        connecting.addListener((ChannelFuture attempt) -> connection.onConnected(attempt.isSuccess()));
        return connection;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Whether {@link #send} may be called now. */
    public boolean isIdle() {
        return !closed && activeListener == null && (connected || !hasCarriedRequest);
    }

    /** Time that connecting took; {@link Long#MAX_VALUE} until the connection is established. */
    public long connectNanos() {
        return connectNanos;
    }

    /** Time on the monotonic clock at which the last exchange ended. */
    public long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Idle timeout that the server announced; {@link Long#MAX_VALUE} if it announced none. */
    public long keepAliveNanos() {
        return keepAliveNanos;
    }

    /**
     * Sends a request as soon as the connection is established, and takes ownership of it. The listener receives the
     * response.
     *
     * @throws IllegalStateException if the connection is not idle
     */
    public void send(FullHttpRequest message, ExchangeListener listener) {
        if (!isIdle()) {
            message.release();
            throw new IllegalStateException("can't send a request on a connection that is closed or busy");
        }
        activeListener = listener;
        syntax.expectResponse(HttpMethod.HEAD.equals(message.method()));
        decoder.expectResponseTo(message.method());
        hasCarriedRequest = true;
        headReceived = false;
        headBytes = 0;
        if (connected) {
            request.write(channel, message);
        } else {
            request.defer(message);
        }
    }

    /** Pauses or resumes reading, so that a response arrives no faster than it can be forwarded (backpressure). */
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /** Closes the connection without notifying the listener of the exchange in progress. */
    public void abort() {
        activeListener = null;
        close();
    }

    /** Closes a connection on which no exchange is in progress. */
    public void close() {
        closed = true;
        request.releaseDeferred();
        Channels.close(channel);
    }

    /** Whether the current request has not been written, since the connection is not established yet. */
    public boolean isRequestPending() {
        return request.isDeferred();
    }

    private void onConnected(boolean success) {
        connected = success;
        if (!success || closed) {
            fail(ConnectionFailure.NOT_CONNECTED);
            return;
        }
        connectNanos = System.nanoTime() - connectStartNanos;
        if (!request.isDeferred() || activeListener == null) {
            return;
        }
        if (activeListener.mayWrite()) {
            request.writeDeferred(channel);
        } else {
            fail(ConnectionFailure.WITHDRAWN);
        }
    }

    // Inbound

    /**
     * Sees the bytes and the end of the connection before they are decoded. Closes the connection if a server sends
     * bytes while no exchange is in progress, and fails the exchange if they come without end before a complete head.
     */
    private final class InboundGuard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (activeListener == null) {
                ReferenceCountUtil.release(bytes);
                fail(ConnectionFailure.MALFORMED);
                return;
            }
            if (!headReceived) {
                headBytes += ((ByteBuf) bytes).readableBytes();
            }
            if (headBytes <= MAX_HEAD_BYTES) {
                ctx.fireChannelRead(bytes);
                return;
            }
            ReferenceCountUtil.release(bytes);
            fail(ConnectionFailure.MALFORMED);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                input = InputState.SHUT_DOWN;
            }
            ctx.fireUserEventTriggered(event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            input = InputState.LOST;
            ctx.fireChannelInactive();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (activeListener != null && headReceived) {
            activeListener.onReadComplete();
        }
    }

    private void read(HttpObject message) {
        if (closed) {
            return;
        }
        if (message.decoderResult().isFailure() || activeListener == null) {
            fail(isClosedWithinHead(message) ? ConnectionFailure.BROKEN_BEFORE_ANSWER : ConnectionFailure.MALFORMED);
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && headReceived) {
            readContent(content);
        }
    }

    private static boolean isClosedWithinHead(HttpObject message) {
        return message.decoderResult().cause() instanceof PrematureChannelClosureException;
    }

    private void readHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        headReceived = true;
        keepAlive = HttpUtil.isKeepAlive(head) && BodyFraming.of(head).isSelfDelimiting();
        keepAliveNanos = KeepAliveHeader.timeoutNanos(head.headers());
        activeListener.onHead(head);
    }

    private void readContent(HttpContent content) {
        if (content.content().isReadable()) {
            activeListener.onContent(content.content());
        }
        if (activeListener != null && content instanceof LastHttpContent) {
            endResponse();
        }
    }

    /** The decoder has reported the end of the response. If it is incomplete, the end of the connection follows. */
    private void endResponse() {
        InputState.Completeness completeness = input.completenessOfResponse(request.state());
        if (completeness == InputState.Completeness.COMPLETE) {
            complete();
        } else if (completeness == InputState.Completeness.UNDECIDED) {
            awaitRequestWrite();
        }
    }

    /** A server that is alive reads the rest of the request; one that has crashed resets the connection. */
    private void awaitRequestWrite() {
        awaitsRequestWrite = true;
        request.onEnd(written -> {
            if (activeListener == null) {
                return;
            }
            if (written.isSuccess()) {
                complete();
            } else {
                fail(ConnectionFailure.RESET_IN_ANSWER);
            }
        });
    }

    private void complete() {
        ExchangeListener finished = activeListener;
        activeListener = null;
        idleSinceNanos = System.nanoTime();
        if (!keepAlive || !request.isWritten() || syntax.hasExcess()) {
            close();
        } else {
            setReading(true);
        }
        finished.onComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof InvalidResponseException invalid) {
            endExchange().ifPresent(failed -> failed.onInvalid(invalid.verdict()));
        } else {
            Channels.close(ctx.channel());
        }
    }

    /** Closes the connection when the server has shut it down, unless the rest of the request is to be written. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE && !awaitsRequestWrite) {
            fail(headReceived ? ConnectionFailure.CLOSED_IN_ANSWER : ConnectionFailure.BROKEN_BEFORE_ANSWER);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail(headReceived ? ConnectionFailure.RESET_IN_ANSWER : ConnectionFailure.BROKEN_BEFORE_ANSWER);
    }

    private void fail(ConnectionFailure failure) {
        endExchange().ifPresent(failed -> failed.onFailure(failure));
    }

    /** Closes the connection, and returns the listener of the exchange that was in progress. */
    private Optional<ExchangeListener> endExchange() {
        Optional<ExchangeListener> failed = Optional.ofNullable(activeListener);
        activeListener = null;
        if (!closed) {
            close();
        }
        return failed;
    }
}
