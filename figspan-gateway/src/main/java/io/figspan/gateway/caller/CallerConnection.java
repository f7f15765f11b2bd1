package io.figspan.gateway.caller;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.gateway.forward.CallerExchange;
import io.figspan.gateway.forward.InFlightCall;
import io.figspan.gateway.forward.ProblemResponses;
import io.figspan.gateway.http.BufferedBody;
import io.figspan.gateway.http.Channels;
import io.figspan.settings.gateway.CallerLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
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
 * One connection of a caller. It handles one request at a time; pipelined requests wait until the response is written.
 * All methods run on the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerExchange {
    /** Pipelined messages above which reading from the connection stops. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    /** Time after the last response for which a caller may still send the rest of what it has begun to send. */
    private static final long MAX_LINGER_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Retry-After when the memory for bodies is full. */
    private static final long BODY_MEMORY_RETRY_MS = 500;

    /** Retry-After for callers that need a new connection. */
    private static final long NEW_CONNECTION_RETRY_MS = 20;

    private final CallerServer server;
    private final int maxHeaderBytes;
    private final ReceiveTimeouts timeouts;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private BufferedBody body;
    private int maxBodyBytes;
    private InFlightCall call;
    private boolean responding;
    private long requestCount;
    private boolean keepAlive = true;
    private boolean closing;
    private long closingNanos;
    private boolean mayReceiveMore;

    CallerConnection(CallerServer server, CallerLimits limits) {
        this.server = server;
        this.maxHeaderBytes = limits.maxHeaderBytes();
        this.timeouts = new ReceiveTimeouts(limits, System.nanoTime());
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
        releaseBody();
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        InFlightCall abandoned = call;
        call = null;
        if (abandoned != null) {
            abandoned.onCallerDisconnected();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (call != null) {
            call.onCallerWritabilityChanged(channel.isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        boolean isNetworkError = cause instanceof IOException;
        if (!isNetworkError) {
            server.errors().report(cause);
        }
        Channels.close(ctx.channel());
    }

    /** Applies changed limits, except to the request in progress. */
    void limitsChanged(CallerLimits changed) {
        timeouts.limitsChanged(changed);
    }

    // Requests

    /** Records activity when bytes arrive, before they are decoded. */
    void bytesReceived() {
        if (!responding) {
            timeouts.bytesReceived(System.nanoTime());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (responding) {
            pipelined.add((HttpObject) message);
            if (pipelined.size() > MAX_PIPELINED_MESSAGES) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        handle((HttpObject) message);
    }

    private void handle(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                refuseMalformed(message.decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (!responding && message instanceof HttpContent content) {
                appendBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        timeouts.headReceived(System.nanoTime());
        head = request;
        keepAlive = HttpUtil.isKeepAlive(request);
        maxBodyBytes = server.limits().maxBodyBytes();
        body = new BufferedBody(server.bodies(), maxBodyBytes);
        if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
            refuse(bodyTooLong());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            refuseIfOutOfTime(System.nanoTime());
            if (closing) {
                return;
            }
            Channels.writeAndFlush(
                    channel,
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void appendBody(HttpContent content) {
        BufferedBody.Outcome outcome = body.add(content.content());
        if (outcome == BufferedBody.Outcome.TOO_LONG) {
            refuse(bodyTooLong());
        } else if (outcome == BufferedBody.Outcome.NO_ROOM) {
            refuse(Problem.notRun(ProblemKind.OVERLOADED, "the bodies of requests in progress fill the memory")
                    .withRetryAfterMs(BODY_MEMORY_RETRY_MS));
        } else if (content instanceof LastHttpContent) {
            requestComplete();
        }
    }

    private void requestComplete() {
        responding = true;
        ByteBuf wholeBody = body.detachBytes();
        long requestNumber = ++requestCount;
        Optional<InFlightCall> accepted = accept(wholeBody, requestNumber);
        boolean respondedDuringAccept = !responding || requestCount != requestNumber;
        if (!respondedDuringAccept) {
            call = accepted.orElse(null);
        }
    }

    /** Hands the request to the server. An unexpected error fails this request only. */
    private Optional<InFlightCall> accept(ByteBuf wholeBody, long requestNumber) {
        try {
            return server.accept(head, wholeBody, this);
        } catch (RuntimeException e) {
            boolean isUnanswered = responding && requestCount == requestNumber;
            fail(e, isUnanswered);
            return Optional.empty();
        }
    }

    @Override
    public void fail(RuntimeException error) {
        fail(error, responding);
    }

    /** The connection is closed, since a response to the request that failed may still come. */
    private void fail(RuntimeException error, boolean isUnanswered) {
        server.errors().report(error);
        keepAlive = false;
        if (isUnanswered) {
            respond(ProblemResponses.of(Problem.unknown(ProblemKind.INTERNAL, "unexpected error")));
        }
    }

    private Problem bodyTooLong() {
        return server.unlessOutdated(
                Problem.notRun(ProblemKind.BODY_TOO_LARGE, "the body has more than " + maxBodyBytes + " bytes"));
    }

    private void refuse(Problem problem) {
        refuse(ProblemResponses.of(problem));
    }

    /**
     * Refuses a request that has not arrived completely and closes the connection, since the rest of the request could
     * be mistaken for another one.
     */
    private void refuse(FullHttpResponse response) {
        keepAlive = false;
        responding = true;
        mayReceiveMore = true;
        respond(response);
    }

    private void refuseMalformed(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            refuseTooLong(cause, HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
        } else if (cause instanceof TooLongHttpLineException) {
            refuseTooLong(cause, HttpResponseStatus.REQUEST_URI_TOO_LONG);
        } else {
            refuse(Problem.notRun(ProblemKind.INVALID_VALUE, cause.getMessage()));
        }
    }

    private void refuseTooLong(Throwable cause, HttpResponseStatus status) {
        if (server.limits().maxHeaderBytes() > maxHeaderBytes) {
            refuse(Problem.notRun(ProblemKind.SETTINGS_NOT_READ, "the connection was accepted under a lower limit")
                    .withRetryAfterMs(NEW_CONNECTION_RETRY_MS));
            return;
        }
        FullHttpResponse response = ProblemResponses.of(Problem.notRun(ProblemKind.INVALID_VALUE, cause.getMessage()));
        response.setStatus(status);
        refuse(response);
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    // Responses

    @Override
    public void respond(FullHttpResponse response) {
        if (closing) {
            response.release();
            return;
        }
        setConnectionHeader(response);
        finish(response);
    }

    @Override
    public void beginResponse(HttpResponse response) {
        setConnectionHeader(response);
        Channels.write(channel, response);
    }

    @Override
    public void write(ByteBuf piece) {
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

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Announces the close of the connection, but not before the requests that have been received are answered. */
    private void setConnectionHeader(HttpResponse response) {
        boolean isDecoderOutdated = server.limits().maxHeaderBytes() != maxHeaderBytes;
        if ((server.isDraining() || isDecoderOutdated) && !hasPipelinedRequests()) {
            keepAlive = false;
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Whether requests have arrived behind the one that is answered. The connection closes after the last of them. */
    private boolean hasPipelinedRequests() {
        return !pipelined.isEmpty() || !channel.config().isAutoRead();
    }

    private void finish(Object lastMessage) {
        call = null;
        head = null;
        releaseBody();
        long nowNanos = System.nanoTime();
        timeouts.responseWritten(nowNanos);
        if (!keepAlive) {
            closing = true;
            closingNanos = nowNanos;
            mayReceiveMore |= !pipelined.isEmpty();
            ChannelFuture written = channel.writeAndFlush(lastMessage);
            if (mayReceiveMore) {
                written.addListener((ChannelFuture sent) -> shutdownOutput(sent));
            } else {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            return;
        }
        Channels.writeAndFlush(channel, lastMessage);
        responding = false;
        handlePipelined();
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

    private void handlePipelined() {
        while (!responding && !closing && !pipelined.isEmpty()) {
            handle(pipelined.poll());
        }
        if (!channel.config().isAutoRead() && pipelined.isEmpty()) {
            channel.config().setAutoRead(true);
        }
    }

    // Time limits

    /**
     * Closes the connection if the caller is too slow or has been idle for too long. The event loop may be late, so it
     * reads first what the caller has sent in time.
     */
    void enforceTimeouts(long nowNanos) {
        if (mayReceiveMore && closing && nowNanos - closingNanos > MAX_LINGER_NANOS) {
            Channels.close(channel);
        } else if (exceededTimeout(nowNanos).isPresent()) {
            server.afterNextRead(() -> exceededTimeout(nowNanos).ifPresent(this::timedOut));
        }
    }

    private Optional<ReceiveTimeouts.Timeout> exceededTimeout(long nowNanos) {
        if (responding || closing) {
            return Optional.empty();
        }
        return timeouts.exceeded(body == null ? 0 : body.lengthBytes(), nowNanos);
    }

    private void timedOut(ReceiveTimeouts.Timeout timeout) {
        if (timeout == ReceiveTimeouts.Timeout.IDLE) {
            closeUnanswered();
        } else if (timeout == ReceiveTimeouts.Timeout.BODY) {
            refuseTimedOut("the body did not arrive in time");
        } else {
            refuseTimedOut("the headers did not arrive in time");
        }
    }

    private void refuseTimedOut(String reason) {
        FullHttpResponse response = ProblemResponses.of(Problem.notRun(ProblemKind.INVALID_VALUE, reason));
        response.setStatus(HttpResponseStatus.REQUEST_TIMEOUT);
        refuse(response);
    }

    // Planned stop

    /** Refuses a request whose body is still arriving if it can't end before this host stops. */
    void refuseIfOutOfTime(long nowNanos) {
        if (!responding && !closing && head != null) {
            refusalOfIncomplete(nowNanos).ifPresent(this::refuse);
        }
    }

    private Optional<Problem> refusalOfIncomplete(long nowNanos) {
        try {
            return server.refusalOfIncomplete(head, nowNanos);
        } catch (RuntimeException e) {
            server.errors().report(e);
            return Optional.empty();
        }
    }

    /** Refuses a request that has not arrived completely. */
    void refuseIncomplete() {
        if (!responding && !closing && (head != null || timeouts.isReadingHead())) {
            refuse(server.shutdownRefusal());
        }
    }

    /** Closes the connection if no request is in progress on it and none has been received. */
    void closeIfIdle() {
        server.afterNextRead(() -> {
            if (!isUnfinished()) {
                closeUnanswered();
            }
        });
    }

    private void closeUnanswered() {
        closing = true;
        Channels.close(channel);
    }

    boolean isBusy() {
        return responding || head != null;
    }

    /** Whether a part of a request has arrived or a response is not written yet. */
    boolean isUnfinished() {
        return isBusy() || timeouts.isReadingHead() || hasUnsentBytes();
    }

    /** Whether the caller has not read fast enough for all bytes that were written. */
    boolean hasUnsentBytes() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent != null && !unsent.isEmpty();
    }
}
