package io.figspan.gateway.caller;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.gateway.forward.CallerCall;
import io.figspan.gateway.forward.CallerExchange;
import io.figspan.gateway.forward.ProblemResponses;
import io.figspan.gateway.http.Channels;
import io.figspan.gateway.http.CollectedBody;
import io.figspan.settings.gateway.CallerLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One connection of a caller. It takes one request at a time; what the caller sends ahead waits until the answer is
 * written. All methods run on the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerExchange {
    /** Messages that a caller may send ahead before reading from its connection stops. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    /** Time to come back when the memory for bodies is full. */
    private static final long NO_ROOM_RETRY_MS = 500;

    private final CallerServer server;
    private final CallerLimits limits;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private CollectedBody body;
    private long headNanos;
    private CallerCall call;
    private boolean answering;
    private long requests;
    private boolean keepAlive = true;
    private boolean closing;
    private long lastActiveNanos = System.nanoTime();
    private boolean bytesBeforeHead;

    CallerConnection(CallerServer server, CallerLimits limits) {
        this.server = server;
        this.limits = limits;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.closed(this);
        closing = true;
        endBody();
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        CallerCall left = call;
        call = null;
        if (left != null) {
            left.callerLeft();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (call != null) {
            call.callerWritable(channel.isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        boolean isOfNetwork = cause instanceof IOException;
        if (!isOfNetwork) {
            server.errors().report(cause);
        }
        Channels.close(ctx.channel());
    }

    // Requests

    /** Notes received bytes before they are decoded. */
    void bytesReceived() {
        if (head == null && !answering && !bytesBeforeHead) {
            bytesBeforeHead = true;
            lastActiveNanos = System.nanoTime();
        } else if (head != null) {
            lastActiveNanos = System.nanoTime();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (answering) {
            pipelined.add((HttpObject) message);
            if (pipelined.size() > MAX_PIPELINED_MESSAGES) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        take((HttpObject) message);
    }

    private void take(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                refuseUnreadable(message.decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (!answering && message instanceof HttpContent content) {
                addBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        bytesBeforeHead = false;
        lastActiveNanos = System.nanoTime();
        headNanos = lastActiveNanos;
        head = request;
        keepAlive = HttpUtil.isKeepAlive(request);
        body = new CollectedBody(server.bodies(), limits.maxBodyBytes());
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            refuse(bodyTooLong());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            Channels.writeAndFlush(
                    channel,
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void addBody(HttpContent content) {
        CollectedBody.Outcome outcome = body.add(content.content());
        if (outcome == CollectedBody.Outcome.TOO_LONG) {
            refuse(bodyTooLong());
        } else if (outcome == CollectedBody.Outcome.NO_ROOM) {
            refuse(Problem.notRun(ProblemKind.OVERLOADED, "the bodies of requests in progress fill the memory")
                    .withRetryAfterMs(NO_ROOM_RETRY_MS));
        } else if (content instanceof LastHttpContent) {
            requestRead();
        }
    }

    private void requestRead() {
        answering = true;
        ByteBuf whole = body.takeWhole();
        long number = ++requests;
        Optional<CallerCall> accepted = accept(whole, number);
        boolean answeredMeanwhile = !answering || requests != number;
        if (!answeredMeanwhile) {
            call = accepted.orElse(null);
        }
    }

    /**
     * An unexpected error costs this request and no other one; nobody knows whether it ran. The connection is closed,
     * as an answer may still come.
     */
    private Optional<CallerCall> accept(ByteBuf whole, long number) {
        try {
            return server.accept(head, whole, this);
        } catch (RuntimeException e) {
            server.errors().report(e);
            keepAlive = false;
            if (answering && requests == number) {
                answer(ProblemResponses.of(Problem.unknown(ProblemKind.INTERNAL, "unexpected error")));
            }
            return Optional.empty();
        }
    }

    private Problem bodyTooLong() {
        return Problem.notRun(ProblemKind.BODY_TOO_LARGE, "the body has more than " + limits.maxBodyBytes() + " bytes");
    }

    private void refuse(Problem problem) {
        refuse(ProblemResponses.of(problem));
    }

    /** Refuses a request that has not arrived as a whole; the rest of it can't be told from another one. */
    private void refuse(FullHttpResponse response) {
        keepAlive = false;
        answering = true;
        answer(response);
    }

    private void refuseUnreadable(Throwable cause) {
        FullHttpResponse response = ProblemResponses.of(Problem.notRun(ProblemKind.INVALID_VALUE, cause.getMessage()));
        if (cause instanceof TooLongHttpHeaderException) {
            response.setStatus(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
        } else if (cause instanceof TooLongHttpLineException) {
            response.setStatus(HttpResponseStatus.REQUEST_URI_TOO_LONG);
        }
        refuse(response);
    }

    private void endBody() {
        if (body != null) {
            body.end();
            body = null;
        }
    }

    // Answers

    @Override
    public void answer(FullHttpResponse response) {
        if (closing) {
            response.release();
            return;
        }
        markClose(response);
        finish(response);
    }

    @Override
    public void begin(HttpResponse response) {
        markClose(response);
        Channels.write(channel, response);
    }

    @Override
    public void write(ByteBuf piece) {
        lastActiveNanos = System.nanoTime();
        Channels.writeAndFlush(channel, new DefaultHttpContent(piece));
    }

    @Override
    public void end() {
        if (!closing) {
            finish(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    @Override
    public void abort() {
        call = null;
        closing = true;
        Channels.close(channel);
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    private void markClose(HttpResponse response) {
        if (server.isDraining()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finish(Object lastMessage) {
        call = null;
        head = null;
        endBody();
        lastActiveNanos = System.nanoTime();
        if (!keepAlive) {
            closing = true;
            channel.writeAndFlush(lastMessage).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        Channels.writeAndFlush(channel, lastMessage);
        answering = false;
        takePipelined();
    }

    private void takePipelined() {
        while (!answering && !closing && !pipelined.isEmpty()) {
            take(pipelined.poll());
        }
        if (!channel.config().isAutoRead() && pipelined.isEmpty()) {
            channel.config().setAutoRead(true);
        }
    }

    // Time limits

    /** Closes the connection when the caller is too slow or was idle for too long. */
    void checkTimes(long nowNanos) {
        if (answering || closing) {
            return;
        }
        long quietMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastActiveNanos);
        if (bytesBeforeHead && quietMs > limits.headerTimeoutMs()) {
            refuseSlow("the headers did not arrive in time");
        } else if (head != null && BodyReadTimeout.isTooSlow(sinceHeadMs(nowNanos), body.lengthBytes(), limits)) {
            refuseSlow("the body did not arrive in time");
        } else if (quietMs > limits.idleTimeoutMs()) {
            closing = true;
            Channels.close(channel);
        }
    }

    private long sinceHeadMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - headNanos);
    }

    private void refuseSlow(String reason) {
        FullHttpResponse response = ProblemResponses.of(Problem.notRun(ProblemKind.INVALID_VALUE, reason));
        response.setStatus(HttpResponseStatus.REQUEST_TIMEOUT);
        refuse(response);
    }

    /** Closes the connection if no request is in progress on it. */
    void closeIfIdle() {
        if (!answering && head == null && !bytesBeforeHead) {
            closing = true;
            Channels.close(channel);
        }
    }

    boolean isBusy() {
        return answering || head != null;
    }
}
