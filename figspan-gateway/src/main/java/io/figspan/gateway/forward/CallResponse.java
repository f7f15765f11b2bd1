package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.gateway.http.EventBatch;
import io.figspan.gateway.protocol.CallerProtocol;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalLong;

/** The response to one caller: converts what backend servers send and counts the events that were forwarded. */
final class CallResponse {
    private final CallerProtocol protocol;
    private final CallerExchange caller;
    private OptionalLong lastEventId;
    private long forwardedEvents;
    private long forwardedBytes;

    /**
     * Creates a response.
     *
     * @param lastEventId id of the last event that the caller has received already, if it resumes a stream
     */
    CallResponse(CallerProtocol protocol, CallerExchange caller, OptionalLong lastEventId) {
        this.protocol = protocol;
        this.caller = caller;
        this.lastEventId = lastEventId;
    }

    /** Id of the last event with an id that the caller has received. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    long forwardedEvents() {
        return forwardedEvents;
    }

    /** Length of the events that were forwarded, in bytes. */
    long forwardedBytes() {
        return forwardedBytes;
    }

    /** Sends the head of a streamed response. */
    void beginStream(HttpResponse backendHead) {
        HttpResponse head = protocol.responseHead(backendHead);
        head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        caller.beginResponse(head);
    }

    /** Forwards events of a streamed response and takes ownership of them. */
    void forward(EventBatch events) {
        if (events.lastId().isPresent()) {
            lastEventId = events.lastId();
        }
        forwardedEvents += events.progressEvents();
        forwardedBytes += events.bytes().readableBytes();
        caller.write(events.bytes());
    }

    /** Whether events can be forwarded without accumulating in the outbound buffer. */
    boolean isWritable() {
        return caller.isWritable();
    }

    void endStream() {
        caller.end();
    }

    /** Closes the connection, so that the caller can't take an incomplete streamed response for a complete one. */
    void abort() {
        caller.abort();
    }

    /** Converts a complete response of a backend server and takes ownership of its body. */
    FullHttpResponse convert(HttpResponse backendHead, ByteBuf body) {
        HttpResponse head = protocol.responseHead(backendHead);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), body);
        response.headers().set(head.headers());
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return response;
    }

    /** Sends a complete response and takes ownership of it. */
    void respond(FullHttpResponse response) {
        caller.respond(response);
    }

    void respond(Problem problem) {
        caller.respond(ProblemResponses.of(problem));
    }
}
