package io.figspan.gateway.protocol;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.List;

/** Translates the small calls around the callers' port: where to connect, and whether this host is ready. */
public interface OperatorProtocol {
    boolean isHostsRequest(HttpRequest request);

    /** Most addresses of an answer that a caller uses; it ignores those after them. */
    int maxHosts();

    /** The addresses that a caller may connect to, and how long it may keep them. */
    FullHttpResponse hosts(List<InetSocketAddress> addresses, int keepSeconds);

    boolean isReadinessRequest(HttpRequest request);
}
