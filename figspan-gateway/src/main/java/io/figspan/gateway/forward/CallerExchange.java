package io.figspan.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Sends the response to one request of a caller. All methods must be called on the event loop. */
public interface CallerExchange {
    /** Sends a complete response. */
    void respond(FullHttpResponse response);

    /** Sends the head of a streamed response. */
    void beginResponse(HttpResponse head);

    /** Sends a chunk of a streamed response and takes ownership of the buffer. */
    void write(ByteBuf chunk);

    /** Completes a streamed response. */
    void end();

    /** Closes the connection, so that the caller can't take an incomplete streamed response for a complete one. */
    void abort();

    /** Reports an unexpected error, after which it is unknown whether the request ran, and ends the request. */
    void fail(RuntimeException error);

    /** Whether chunks can be sent without accumulating in the outbound buffer. */
    boolean isWritable();
}
