package io.figspan.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;

/**
 * A client connection that carries one exchange at a time. It closes itself when the other side sends bytes that no
 * exchange asked for. All methods run on its event loop.
 */
public final class HttpConnection extends ChannelInboundHandlerAdapter {
    /** Longest head, with all that comes before it: informational answers and empty lines. */
    private static final long MAX_HEAD_BYTES = 64 * 1_024;

    private final InetSocketAddress address;
    private Channel channel;
    private ExchangeListener exchange;
    private FullHttpRequest waitingRequest;
    private ChannelFuture written;
    private final long openedNanos = System.nanoTime();
    private long connectNanos = Long.MAX_VALUE;
    private boolean connected;
    private boolean headReceived;
    private long headBytes;
    private boolean keepAlive;
    private boolean broken;
    private boolean closed;
    private boolean used;
    private long idleSinceNanos;
    private long keepAliveNanos = Long.MAX_VALUE;

    private HttpConnection(InetSocketAddress address) {
        this.address = address;
    }

    /**
     * Starts to connect.
     *
     * @param connectTimeoutMs time after which the attempt fails
     */
    public static HttpConnection open(EventLoop loop, InetSocketAddress address, int connectTimeoutMs) {
        HttpConnection connection = new HttpConnection(address);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(connection.new HeadBound(), new HttpClientCodec(), connection);
                    }
                });
        ChannelFuture connecting = bootstrap.connect(address);
        connection.channel = connecting.channel();
        connecting.addListener((ChannelFuture done) -> connection.onConnected(done.isSuccess()));
        return connection;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Whether a request may be sent now. */
    public boolean isIdle() {
        return !closed && exchange == null && (connected || !used);
    }

    /** How long it took to connect; {@link Long#MAX_VALUE} before that. */
    public long connectNanos() {
        return connectNanos;
    }

    /** When the last exchange ended, on the monotonic clock. */
    public long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** How long the other side keeps the connection idle, as it said; {@link Long#MAX_VALUE} when it did not. */
    public long keepAliveNanos() {
        return keepAliveNanos;
    }

    /** Sends a request, once the connection is made. The listener hears of the answer. */
    public void send(FullHttpRequest request, ExchangeListener listener) {
        if (!isIdle()) {
            throw new IllegalStateException("a request on a connection that is not idle");
        }
        exchange = listener;
        used = true;
        headReceived = false;
        headBytes = 0;
        if (connected) {
            write(request);
        } else {
            waitingRequest = request;
        }
    }

    /** Stops or resumes reading, so that an answer arrives no faster than it can be passed on. */
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /** Closes the connection without telling the listener of the exchange in progress. */
    public void abort() {
        exchange = null;
        close();
    }

    /** Closes a connection that carries no exchange. */
    public void close() {
        closed = true;
        releaseWaiting();
        Channels.close(channel);
    }

    private void onConnected(boolean success) {
        connected = success;
        if (!success || closed) {
            fail(ConnectionFailure.NOT_CONNECTED);
            return;
        }
        connectNanos = System.nanoTime() - openedNanos;
        if (waitingRequest != null && exchange != null) {
            FullHttpRequest request = waitingRequest;
            waitingRequest = null;
            write(request);
        }
    }

    private void write(FullHttpRequest request) {
        written = channel.writeAndFlush(request);
    }

    // Inbound

    /** Ends the exchange when bytes come without end and no head is among them. */
    private final class HeadBound extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
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
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (closed) {
            return;
        }
        if (message.decoderResult().isFailure() || exchange == null) {
            fail(ConnectionFailure.MALFORMED);
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && headReceived) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        headReceived = true;
        keepAlive = HttpUtil.isKeepAlive(head) && endsByItself(head);
        keepAliveNanos = KeepAliveHeader.timeoutNanos(head.headers());
        exchange.onHead(head);
    }

    /** Whether the end of the answer is known without the end of the connection. */
    private static boolean endsByItself(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    private void readContent(HttpContent content) {
        if (content.content().isReadable()) {
            exchange.onContent(content.content());
        }
        if (exchange != null && content instanceof LastHttpContent && !broken) {
            complete();
        }
    }

    private void complete() {
        ExchangeListener finished = exchange;
        exchange = null;
        idleSinceNanos = System.nanoTime();
        boolean requestSent = written != null && written.isSuccess();
        if (!keepAlive || !requestSent) {
            close();
        }
        finished.onComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken = true;
        Channels.close(ctx.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail(headReceived ? ConnectionFailure.BROKEN_IN_ANSWER : ConnectionFailure.BROKEN_BEFORE_ANSWER);
    }

    private void fail(ConnectionFailure failure) {
        ExchangeListener failed = exchange;
        exchange = null;
        if (!closed) {
            close();
        }
        if (failed != null) {
            failed.onFailure(failure);
        }
    }

    private void releaseWaiting() {
        if (waitingRequest != null) {
            waitingRequest.release();
            waitingRequest = null;
        }
    }
}
