package io.figspan.gateway.protocol;

import io.figspan.core.id.BackendServerId;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates the messages exchanged with backend servers. */
public interface BackendProtocol {
    /**
     * Encodes a request for a server. The body is neither copied nor retained: who keeps the message beyond the body's
     * owner has to retain it.
     */
    FullHttpRequest encode(CallerRequest request, ByteBuf body, AttemptParameters attempt);

    BackendResponse decode(HttpResponse head);

    /**
     * A request to reserve memory for a prompt, or to renew the reservation.
     *
     * @param hold name of the reservation; reusing the name renews it
     * @param leaseMs time after which the server frees the memory by itself
     */
    FullHttpRequest reserve(BackendServerId server, String hold, long tokens, long leaseMs);

    /** A request to release a reservation. */
    FullHttpRequest release(BackendServerId server, String hold);

    /** A health probe: a request that a live server answers at once. */
    FullHttpRequest report(BackendServerId server);

    /** Whether the status means that the server did what was requested. */
    boolean isDone(int status);

    /** Whether the status of a response to a reservation or renewal means that the server holds no memory for it. */
    boolean isNotHeld(int status);
}
