package io.figspan.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One small call whose answer is taken as a whole within a time limit. */
public final class BufferedExchange implements ExchangeListener {
    private static final int MAX_ANSWER_BYTES = 8 * 1_024 * 1_024;

    private final HttpConnection connection;
    private final Listener listener;
    private final long timeoutMs;
    private final ByteBuf body = Unpooled.buffer();
    private final ScheduledFuture<?> timeout;
    private int status;
    private boolean finished;

    /** Receives the outcome; exactly one method is called. */
    public interface Listener {
        void onResponse(int status, byte[] body);

        void onFailure(String reason);
    }

    private BufferedExchange(EventLoop loop, HttpConnection connection, Listener listener, long timeoutMs) {
        this.connection = connection;
        this.listener = listener;
        this.timeoutMs = timeoutMs;
        this.timeout = loop.schedule(this::timedOut, timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Sends a GET request. When it fails the connection is closed. */
    public static void get(
            EventLoop loop, HttpConnection connection, String target, long timeoutMs, Listener listener) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target, Unpooled.EMPTY_BUFFER);
        send(loop, connection, request, timeoutMs, listener);
    }

    /** Sends a request, which is taken over. When it fails the connection is closed. */
    public static void send(
            EventLoop loop, HttpConnection connection, FullHttpRequest request, long timeoutMs, Listener listener) {
        request.headers().set(HttpHeaderNames.HOST, HostPort.of(connection.address()));
        connection.send(request, new BufferedExchange(loop, connection, listener, timeoutMs));
    }

    private void timedOut() {
        connection.abort();
        fail("no answer within " + timeoutMs + " ms");
    }

    @Override
    public void onHead(HttpResponse head) {
        status = head.status().code();
    }

    @Override
    public void onContent(ByteBuf content) {
        if (body.readableBytes() + content.readableBytes() > MAX_ANSWER_BYTES) {
            connection.abort();
            fail("the answer is longer than " + MAX_ANSWER_BYTES + " bytes");
            return;
        }
        body.writeBytes(content);
    }

    @Override
    public void onComplete() {
        if (finish()) {
            byte[] bytes = new byte[body.readableBytes()];
            body.readBytes(bytes);
            body.release();
            listener.onResponse(status, bytes);
        }
    }

    @Override
    public void onFailure(ConnectionFailure failure) {
        fail(failure.toString());
    }

    private void fail(String reason) {
        if (finish()) {
            body.release();
            listener.onFailure(reason);
        }
    }

    private boolean finish() {
        boolean first = !finished;
        finished = true;
        timeout.cancel(false);
        return first;
    }
}
