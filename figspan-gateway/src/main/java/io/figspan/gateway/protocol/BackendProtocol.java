package io.figspan.gateway.protocol;

import io.figspan.core.id.BackendServerId;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates the messages of backend servers. */
public interface BackendProtocol {
    /** The request as it is sent to a server; the body is not copied and its reference count is taken over. */
    FullHttpRequest encode(CallerRequest request, ByteBuf body, AttemptParameters send);

    BackendResponse decode(HttpResponse head);

    /**
     * A request to hold memory for a prompt, or to hold it for longer.
     *
     * @param hold name of the hold; the same name again renews it
     * @param leaseMs time after which the server gives the memory back by itself
     */
    FullHttpRequest reserve(BackendServerId server, String hold, long tokens, long leaseMs);

    /** A request to give the memory of a hold back. */
    FullHttpRequest release(BackendServerId server, String hold);

    /** A request that a server answers at once while it lives. */
    FullHttpRequest report(BackendServerId server);

    /** Whether the status says that the server did what it was asked for. */
    boolean isDone(int status);
}
