package io.figspan.gateway.protocol;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates the messages exchanged with callers. */
public interface CallerProtocol {
    CallerRequest decode(HttpRequest head);

    /**
     * Builds the head of the response to the caller from a backend server's response head, without its connection
     * headers.
     */
    HttpResponse responseHead(HttpResponse backendHead);
}
