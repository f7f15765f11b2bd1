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
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Optional;

/**
 * One connection of a caller. It handles one request at a time; pipelined requests wait until the response is written.
 * All methods run on the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerExchange {
    private final CallerServer server;
    private final Channel channel;
    private final ReceiveTimeouts timeouts;
    private final PipelinedMessages pipelined;
    private final ResponseWriter writer;
    private final Refusals refusals;
    private HttpRequest head;
    private BufferedBody body;
    private int maxBodyBytes;
    private InFlightCall call;
    private boolean responding;
    private boolean handlingPipelined;
    private long requestCount;

    CallerConnection(CallerServer server, Channel channel, CallerLimits limits) {
        this.server = server;
        this.channel = channel;
        this.timeouts = new ReceiveTimeouts(limits, System.nanoTime());
        this.pipelined = new PipelinedMessages(channel);
        this.writer = new ResponseWriter(server, channel, limits.maxHeaderBytes(), pipelined);
        this.refusals = new Refusals(server, limits.maxHeaderBytes());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.closed(this);
        writer.closed();
        releaseBody();
        pipelined.release();
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
        if (writer.isClosing()) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (responding) {
            pipelined.add((HttpObject) message);
            return;
        }
        handle((HttpObject) message);
    }

    private void handle(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                refuse(refusals.malformed(message.decoderResult().cause()));
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
        writer.setKeepAlive(HttpUtil.isKeepAlive(request));
        maxBodyBytes = server.limits().maxBodyBytes();
        body = new BufferedBody(server.bodies(), maxBodyBytes);
        if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
            refuse(refusals.bodyTooLong(maxBodyBytes));
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            refuseIfOutOfTime(System.nanoTime());
            if (writer.isClosing()) {
                return;
            }
            writer.writeContinue();
        }
    }

    private void appendBody(HttpContent content) {
        BufferedBody.Outcome outcome = body.add(content.content());
        if (outcome == BufferedBody.Outcome.TOO_LONG) {
            refuse(refusals.bodyTooLong(maxBodyBytes));
        } else if (outcome == BufferedBody.Outcome.NO_ROOM) {
            refuse(refusals.bodyMemoryFull());
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
        writer.setKeepAlive(false);
        if (isUnanswered) {
            respond(ProblemResponses.of(Problem.unknown(ProblemKind.INTERNAL, "unexpected error")));
        }
    }

    /**
     * Refuses a request that has not arrived completely and closes the connection, since the rest of the request could
     * be mistaken for another one.
     */
    private void refuse(FullHttpResponse response) {
        responding = true;
        writer.closeAfterRefusal();
        respond(response);
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
        if (writer.isClosing()) {
            response.release();
            return;
        }
        writer.setConnectionHeader(response);
        finish(response);
    }

    @Override
    public void beginResponse(HttpResponse response) {
        writer.begin(response);
    }

    @Override
    public void write(ByteBuf piece) {
        writer.write(piece);
    }

    @Override
    public void end() {
        if (!writer.isClosing()) {
            finish(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    @Override
    public void abort() {
        call = null;
        writer.abort();
    }

    @Override
    public boolean isWritable() {
        return writer.isWritable();
    }

    private void finish(Object lastMessage) {
        call = null;
        head = null;
        releaseBody();
        long nowNanos = System.nanoTime();
        timeouts.responseWritten(nowNanos);
        if (!writer.isKeepAlive()) {
            writer.finishAndClose(lastMessage, nowNanos);
            return;
        }
        writer.finish(lastMessage);
        responding = false;
        handlePipelined();
    }

    /** Handles what has arrived behind a request. A request that is answered at once returns here before the next. */
    private void handlePipelined() {
        if (handlingPipelined) {
            return;
        }
        handlingPipelined = true;
        try {
            while (!responding && !writer.isClosing() && !pipelined.isEmpty()) {
                handle(pipelined.poll());
            }
        } finally {
            handlingPipelined = false;
        }
        pipelined.resumeReading();
    }

    // Time limits

    /**
     * Closes the connection if the caller is too slow or has been idle for too long. The event loop may be late, so it
     * reads first what the caller has sent in time.
     */
    void enforceTimeouts(long nowNanos) {
        if (writer.hasLingeredTooLong(nowNanos)) {
            writer.close();
        } else if (exceededTimeout(nowNanos).isPresent()) {
            server.afterNextRead(() -> exceededTimeout(nowNanos).ifPresent(this::timedOut));
        }
    }

    private Optional<ReceiveTimeouts.Timeout> exceededTimeout(long nowNanos) {
        if (responding || writer.isClosing()) {
            return Optional.empty();
        }
        return timeouts.exceeded(body == null ? 0 : body.lengthBytes(), nowNanos);
    }

    private void timedOut(ReceiveTimeouts.Timeout timeout) {
        if (timeout == ReceiveTimeouts.Timeout.IDLE) {
            writer.close();
        } else {
            refuse(refusals.timedOut(timeout));
        }
    }

    // Planned stop

    /** Refuses a request whose body is still arriving if it can't end before this host stops. */
    void refuseIfOutOfTime(long nowNanos) {
        if (!responding && !writer.isClosing() && head != null) {
            refusals.outOfTime(head, nowNanos).ifPresent(this::refuse);
        }
    }

    /** Refuses a request that has not arrived completely. */
    void refuseIncomplete() {
        if (!responding && !writer.isClosing() && (head != null || timeouts.isReadingHead())) {
            refuse(refusals.shutdown());
        }
    }

    /** Closes the connection if no request is in progress on it and none has been received. */
    void closeIfIdle() {
        server.afterNextRead(() -> {
            if (!isUnfinished()) {
                writer.close();
            }
        });
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
        return writer.hasUnsentBytes();
    }
}
