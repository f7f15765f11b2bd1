package io.figspan.gateway.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates the messages of backend servers. */
public interface BackendProtocol {
    /** The request as it is sent to a server; the body is not copied and its reference count is taken over. */
    FullHttpRequest encode(CallerRequest request, ByteBuf body, Send send);

    BackendAnswer decode(HttpResponse head);
}
