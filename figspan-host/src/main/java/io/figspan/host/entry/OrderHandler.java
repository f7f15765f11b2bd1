package io.figspan.host.entry;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Serves tickets and orders on the caller port. Each method ends the response in time. */
public interface OrderHandler {
    /** {@code POST /v1/tickets}. */
    void issue(HttpServerRequest request, RequestHead head, Buffer body);

    /** {@code POST /v1/orders}. */
    void run(HttpServerRequest request, RequestHead head, Buffer body);

    /** {@code GET /v1/orders/{ticket}}. */
    void outcome(HttpServerRequest request, RequestHead head, String ticket);
}
