package io.figspan.gateway.protocol;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.List;

/** Translates requests to the directory and to the readiness check. */
public interface OperatorProtocol {
    boolean isHostsRequest(HttpRequest request);

    /** Most addresses of a directory response that a caller uses; it ignores the rest. */
    int maxHosts();

    /**
     * A directory response with the addresses that a caller may connect to and the time for which it may cache them.
     */
    FullHttpResponse hosts(List<InetSocketAddress> addresses, int cacheSeconds);

    boolean isReadinessRequest(HttpRequest request);
}
