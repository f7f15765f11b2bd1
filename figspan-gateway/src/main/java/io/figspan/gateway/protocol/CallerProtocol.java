package io.figspan.gateway.protocol;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates the messages of callers. */
public interface CallerProtocol {
    CallerRequest decode(HttpRequest head);

    /**
     * The head of an answer to the caller, made from a backend server's head: without the headers of the connection to
     * the server.
     */
    HttpResponse responseHead(HttpResponse backendHead);
}
