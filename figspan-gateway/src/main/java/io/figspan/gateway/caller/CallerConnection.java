package io.figspan.gateway.caller;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.gateway.forward.CallerExchange;
import io.figspan.gateway.forward.InFlightCall;
import io.figspan.gateway.forward.ProblemResponses;
import io.figspan.gateway.forward.ReceivedRequest;
import io.figspan.gateway.http.BufferedBody;
import io.figspan.gateway.http.Channels;
import io.figspan.gateway.http.ClientMemory;
import io.figspan.gateway.http.ClientMemory.Kind;
import io.figspan.gateway.http.PausableServerCodec;
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
    private final HeldRequest request;
    private final ResponseWriter writer;
    private final Refusals refusals;
    private PipelinedBytes pipelined;
    private InFlightCall call;
    private boolean responding;
    private long requestCount;

    CallerConnection(CallerServer server, Channel channel, CallerLimits limits) {
        this.server = server;
        this.channel = channel;
        this.timeouts = new ReceiveTimeouts(limits, System.nanoTime());
        this.request = new HeldRequest(server, this::evict);
        this.writer = new ResponseWriter(server, channel, limits.maxHeaderBytes(), request.memory());
        this.refusals = new Refusals(server, limits.maxHeaderBytes());
    }

    /** Sets the codec of the connection, before it is read. */
    void setCodec(PausableServerCodec codec) {
        pipelined = new PipelinedBytes(channel, codec, request.memory());
        writer.setPipelined(pipelined);
    }

    /** The account of what this connection holds. */
    ClientMemory.Account memory() {
        return request.memory();
    }

    /** Gives up what this connection holds of a kind, because all connections hold too much. */
    private void evict(Kind kind) {
        boolean awaitsBody = kind == Kind.HEADS_BEFORE_BODIES && !responding && !writer.isClosing();
        if (awaitsBody) {
            refuse(refusals.headMemoryFull());
        } else {
            writer.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.closed(this);
        writer.closed();
        request.close();
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

    /** Counts what is not decoded, after bytes have arrived and been decoded as far as possible. */
    void bytesDecoded() {
        if (!writer.isClosing()) {
            pipelined.update();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (writer.isClosing()) {
                request.memory().release(Kind.ARRIVING_HEADS);
            } else if (!responding) {
                handle((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handle(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            refuse(refusals.malformed(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpRequest received) {
            begin(received);
        }
        if (!responding && message instanceof HttpContent content) {
            appendBody(content);
        }
    }

    private void begin(HttpRequest received) {
        timeouts.headReceived(System.nanoTime());
        writer.setKeepAlive(HttpUtil.isKeepAlive(received));
        writer.setRequestVersion(received.protocolVersion());
        if (!keepHead(received)) {
            return;
        }
        if (HttpUtil.getContentLength(received, 0L) > request.maxBodyBytes()) {
            refuse(refusals.bodyTooLong(request.maxBodyBytes()));
            return;
        }
        if (HttpUtil.is100ContinueExpected(received)) {
            refuseIfOutOfTime(System.nanoTime());
            if (writer.isClosing()) {
                return;
            }
            writer.writeContinue();
        }
    }

    /** Refuses the request if its head can't be kept. */
    private boolean keepHead(HttpRequest received) {
        try {
            if (request.begin(received)) {
                return true;
            }
            refuse(refusals.headMemoryFull());
        } catch (RuntimeException e) {
            server.errors().report(e);
            refuse(ProblemResponses.of(Problem.notRun(ProblemKind.INTERNAL, "unexpected error")));
        }
        return false;
    }

    private void appendBody(HttpContent content) {
        BufferedBody.Outcome outcome = request.add(content.content());
        if (outcome == BufferedBody.Outcome.TOO_LONG) {
            refuse(refusals.bodyTooLong(request.maxBodyBytes()));
        } else if (outcome == BufferedBody.Outcome.NO_ROOM) {
            refuse(refusals.bodyMemoryFull());
        } else if (content instanceof LastHttpContent) {
            requestComplete();
        }
    }

    private void requestComplete() {
        responding = true;
        pipelined.pause();
        Optional<ReceivedRequest> received = request.complete();
        if (received.isEmpty()) {
            respond(refusals.headMemoryFull());
            return;
        }
        long requestNumber = ++requestCount;
        Optional<InFlightCall> accepted = accept(received.get(), requestNumber);
        boolean respondedDuringAccept = !responding || requestCount != requestNumber;
        if (!respondedDuringAccept) {
            call = accepted.orElse(null);
        }
    }

    /** Hands the request to the server. An unexpected error fails this request only. */
    private Optional<InFlightCall> accept(ReceivedRequest received, long requestNumber) {
        try {
            return server.accept(received, this);
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
        request.end();
        long nowNanos = System.nanoTime();
        timeouts.responseWritten(nowNanos);
        if (!writer.isKeepAlive()) {
            writer.finishAndClose(lastMessage, nowNanos);
            return;
        }
        writer.finish(lastMessage);
        responding = false;
        pipelined.resume();
    }

    // Time limits

    /**
     * Closes the connection if the caller is too slow or has been idle for too long. The event loop may be late, so it
     * reads first what the caller has sent in time.
     */
    void enforceTimeouts(long nowNanos) {
        long idleTimeoutMs = server.limits().idleTimeoutMs();
        if (writer.hasLingeredTooLong(nowNanos) || writer.isUnreadTooLong(idleTimeoutMs, nowNanos)) {
            writer.close();
        } else if (exceededTimeout(nowNanos).isPresent()) {
            server.afterNextRead(() -> exceededTimeout(nowNanos).ifPresent(this::timedOut));
        }
    }

    private Optional<ReceiveTimeouts.Timeout> exceededTimeout(long nowNanos) {
        if (responding || writer.isClosing()) {
            return Optional.empty();
        }
        return timeouts.exceeded(request.bodyBytes(), nowNanos);
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
        if (!responding && !writer.isClosing() && request.hasHead()) {
            refusals.outOfTime(request.head(), nowNanos).ifPresent(this::refuse);
        }
    }

    /** Refuses a request that has not arrived completely. */
    void refuseIncomplete() {
        if (!responding && !writer.isClosing() && (request.hasHead() || timeouts.isReadingHead())) {
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

    /** Closes the connection, which has no request in progress, in favour of another one. */
    void closeForAnother() {
        writer.close();
        server.closed(this);
    }

    long lastActivityNanos() {
        return timeouts.lastActivityNanos();
    }

    boolean isBusy() {
        return responding || request.hasHead();
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
