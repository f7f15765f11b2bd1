package io.figspan.gateway.http;

import io.figspan.wire.http.ResponseVerdict;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response of one exchange, on the event loop of its connection. Unless the exchange is aborted, exactly
 * one of {@link #onComplete}, {@link #onFailure} and {@link #onInvalid} is called, as the last method.
 */
public interface ExchangeListener {
    /**
     * Whether the request may still be written. Asked when the connection is established, which may be long after the
     * request was passed to it.
     */
    default boolean mayWrite() {
        return true;
    }

    /** The status line and headers were received. */
    void onHead(HttpResponse head);

    /** A chunk of the body was received; the listener does not own the buffer. */
    void onContent(ByteBuf content);

    /** All that was read from the connection at once has been passed on; more may follow. */
    default void onReadComplete() {}

    /** The response is complete. */
    void onComplete();

    /** The exchange failed before the response was complete. */
    void onFailure(ConnectionFailure failure);

    /** The server has sent bytes that are no HTTP response; those of the same read were not passed on. */
    default void onInvalid(ResponseVerdict.Invalid invalid) {
        onFailure(ConnectionFailure.MALFORMED);
    }
}
