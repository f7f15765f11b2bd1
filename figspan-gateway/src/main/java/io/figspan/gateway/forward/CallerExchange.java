package io.figspan.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** One request of a caller, as seen by the side that answers it. */
public interface CallerExchange {
    /** Answers with a whole message. */
    void respond(FullHttpResponse response);

    /** Begins an answer whose pieces follow. */
    void beginResponse(HttpResponse head);

    /** Passes on a piece; the buffer is taken over. */
    void write(ByteBuf piece);

    /** Ends an answer that was begun. */
    void end();

    /** Breaks the connection off, so that an answer that was begun can't be taken as complete. */
    void abort();

    /** Whether pieces can be passed on without piling up. */
    boolean isWritable();
}
