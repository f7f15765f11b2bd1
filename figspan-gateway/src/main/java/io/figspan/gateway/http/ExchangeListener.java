package io.figspan.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer of one exchange, on the event loop of its connection. Exactly one of the last two is called. */
public interface ExchangeListener {
    /** The status line and headers. */
    void onHead(HttpResponse head);

    /** A piece of the body; the listener does not own the buffer. */
    void onContent(ByteBuf content);

    /** The answer is complete. */
    void onComplete();

    /** There will be no complete answer. */
    void onFailure(ConnectionFailure failure);
}
