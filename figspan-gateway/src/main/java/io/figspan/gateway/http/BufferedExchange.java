package io.figspan.gateway.http;

import io.figspan.wire.http.ResponseVerdict;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.zip.DataFormatException;

/** An HTTP exchange with a timeout whose whole response is buffered in memory. */
public final class BufferedExchange implements ExchangeListener {
    private final EventLoop loop;
    private final HttpConnection connection;
    private final Listener listener;
    private final ExchangeTimeout timeout;
    private final Predicate<HttpResponse> isExpected;
    private final ResponseLimit limit;
    private final BufferedBody body;
    private final long startNanos = System.nanoTime();
    private OptionalLong lastByteNanos = OptionalLong.empty();
    private ScheduledFuture<?> timeoutTimer;
    private HttpResponse head;
    private boolean isCompressed;
    private boolean finished;

    /** Receives the outcome on the event loop; exactly one method is called. */
    public interface Listener {
        /** A complete response; {@code body} is decompressed. */
        void onResponse(HttpResponse head, byte[] body);

        void onFailure(String reason);

        /** The body of the response is longer than its limit. */
        default void onTooLong(String reason) {
            onFailure(reason);
        }
    }

    private BufferedExchange(
            EventLoop loop,
            HttpConnection connection,
            Listener listener,
            ExchangeTimeout timeout,
            ResponseLimit limit,
            Predicate<HttpResponse> isExpected) {
        this.loop = loop;
        this.connection = connection;
        this.listener = listener;
        this.timeout = timeout;
        this.limit = limit;
        this.body = new BufferedBody(limit.total(), limit.maxBytes());
        this.isExpected = isExpected;
        startTimer(timeout.remainingNanos(startNanos, lastByteNanos, startNanos));
    }

    /** Sends a GET request. On failure, which includes a timeout, the connection is closed. */
    public static void get(
            EventLoop loop,
            HttpConnection connection,
            String target,
            ExchangeTimeout timeout,
            ResponseLimit limit,
            Listener listener) {
        send(loop, connection, getRequest(target), timeout, limit, head -> true, listener);
    }

    /** Sends a GET request whose response may be compressed; the listener receives the decompressed body. */
    public static void getCompressed(
            EventLoop loop,
            HttpConnection connection,
            String target,
            ExchangeTimeout timeout,
            ResponseLimit limit,
            Listener listener) {
        FullHttpRequest request = getRequest(target);
        request.headers().set(HttpHeaderNames.ACCEPT_ENCODING, DeflateCoding.NAME);
        send(loop, connection, request, timeout, limit, head -> true, listener);
    }

    private static FullHttpRequest getRequest(String target) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target, Unpooled.EMPTY_BUFFER);
    }

    /**
     * Sends a request and takes ownership of it. On failure, which includes a timeout, the connection is closed.
     *
     * @param isExpected whether the head of a response can belong to the request; another one is a failure
     */
    public static void send(
            EventLoop loop,
            HttpConnection connection,
            FullHttpRequest request,
            ExchangeTimeout timeout,
            ResponseLimit limit,
            Predicate<HttpResponse> isExpected,
            Listener listener) {
        request.headers().set(HttpHeaderNames.HOST, HostPort.of(connection.address()));
        connection.send(request, new BufferedExchange(loop, connection, listener, timeout, limit, isExpected));
    }

    private void startTimer(long nanos) {
        timeoutTimer = loop.schedule(this::onTimer, nanos, TimeUnit.NANOSECONDS);
    }

    private void onTimer() {
        long nowNanos = System.nanoTime();
        long leftNanos = timeout.remainingNanos(startNanos, lastByteNanos, nowNanos);
        if (leftNanos > 0) {
            startTimer(leftNanos);
            return;
        }
        connection.abort();
        fail(timeout.reason(startNanos, lastByteNanos, nowNanos));
    }

    @Override
    public void onHead(HttpResponse received) {
        if (!isExpected.test(received)) {
            connection.abort();
            fail("answer to another request");
            return;
        }
        lastByteNanos = OptionalLong.of(System.nanoTime());
        head = received;
        isCompressed = head.headers().contains(HttpHeaderNames.CONTENT_ENCODING, DeflateCoding.NAME, true);
    }

    @Override
    public void onContent(ByteBuf content) {
        lastByteNanos = OptionalLong.of(System.nanoTime());
        BufferedBody.Outcome outcome = body.add(content);
        if (outcome == BufferedBody.Outcome.TOO_LONG) {
            connection.abort();
            failTooLong();
        } else if (outcome == BufferedBody.Outcome.NO_ROOM) {
            connection.abort();
            fail("the responses that are being received hold all "
                    + limit.total().usedBytes() + " bytes");
        }
    }

    @Override
    public void onComplete() {
        if (!markFinished()) {
            return;
        }
        ByteBuf received = body.detachBytes();
        byte[] bytes = ByteBufUtil.getBytes(received);
        received.release();
        body.release();
        if (isCompressed) {
            decompress(bytes);
        } else {
            listener.onResponse(head, bytes);
        }
    }

    private void decompress(byte[] bytes) {
        byte[] decompressed;
        try {
            decompressed = DeflateCoding.decompress(bytes, limit.maxBytes());
        } catch (DataFormatException e) {
            connection.abort();
            listener.onFailure("malformed compressed response: " + e.getMessage());
            return;
        }
        listener.onResponse(head, decompressed);
    }

    @Override
    public void onFailure(ConnectionFailure failure) {
        fail(failure.toString());
    }

    @Override
    public void onInvalid(ResponseVerdict.Invalid invalid) {
        fail(invalid.toString());
    }

    private void failTooLong() {
        if (markFinished()) {
            body.release();
            listener.onTooLong("the response is longer than " + limit.maxBytes() + " bytes");
        }
    }

    private void fail(String reason) {
        if (markFinished()) {
            body.release();
            listener.onFailure(reason);
        }
    }

    private boolean markFinished() {
        boolean isFirst = !finished;
        finished = true;
        timeoutTimer.cancel(false);
        return isFirst;
    }
}
