package io.figspan.gateway;

import io.figspan.cluster.message.Peer;
import io.figspan.core.id.HostId;
import io.figspan.core.metrics.PrometheusText;
import io.figspan.gateway.http.SimpleHttpServer;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.peer.CopyEndpoint;
import io.figspan.gateway.peer.PeerTracker;
import io.figspan.gateway.protocol.OperatorProtocol;
import io.figspan.policy.entry.EntryList;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * The HTTP endpoints besides the port for callers: readiness check, directory, copies of the store's items for other
 * hosts, and metrics.
 */
final class AuxiliaryEndpoints {
    /** Time for which a caller may cache a directory response. */
    private static final int DIRECTORY_TTL_SECONDS = 1;

    private static final String METRICS_PATH = "/metrics";

    private final GatewayConfig config;
    private final OperatorProtocol operator;
    private final PeerTracker peers;
    private final CopyEndpoint copies;
    private final GatewayMetrics metrics;
    private final BooleanSupplier ready;

    /**
     * Creates the endpoints of one host.
     *
     * @param copies serves the copies of the store's items
     * @param ready whether this host accepts callers
     */
    AuxiliaryEndpoints(
            GatewayConfig config,
            OperatorProtocol operator,
            PeerTracker peers,
            CopyEndpoint copies,
            GatewayMetrics metrics,
            BooleanSupplier ready) {
        this.config = config;
        this.operator = operator;
        this.peers = peers;
        this.copies = copies;
        this.metrics = metrics;
        this.ready = ready;
    }

    /** Opens the ports; blocks until they are bound. */
    void listen(EventLoop loop) {
        SimpleHttpServer.listen(loop, config.readiness(), this::answerReadiness).syncUninterruptibly();
        SimpleHttpServer.listen(loop, config.directory(), this::answerDirectory).syncUninterruptibly();
        SimpleHttpServer.listenWithReplies(loop, config.copies(), copies::reply).syncUninterruptibly();
        SimpleHttpServer.listen(loop, config.metrics(), this::answerMetrics).syncUninterruptibly();
    }

    private FullHttpResponse answerReadiness(HttpRequest request) {
        if (!operator.isReadinessRequest(request)) {
            return emptyResponse(HttpResponseStatus.NOT_FOUND);
        }
        return emptyResponse(ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    private FullHttpResponse answerDirectory(HttpRequest request) {
        if (!operator.isHostsRequest(request)) {
            return emptyResponse(HttpResponseStatus.NOT_FOUND);
        }
        Map<HostId, InetSocketAddress> addresses = new HashMap<>();
        if (ready.getAsBoolean()) {
            addresses.put(config.host(), config.callers());
        }
        for (Peer peer : peers.servingPeers(System.nanoTime())) {
            addresses.put(
                    peer.host(),
                    new InetSocketAddress(
                            peer.address().address(), config.callers().getPort()));
        }
        if (addresses.isEmpty()) {
            return emptyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        List<InetSocketAddress> chosen =
                EntryList.choose(config.host(), addresses.keySet(), operator.maxHosts()).stream()
                        .map(addresses::get)
                        .toList();
        return operator.hosts(chosen, DIRECTORY_TTL_SECONDS);
    }

    private FullHttpResponse answerMetrics(HttpRequest request) {
        if (!request.uri().equals(METRICS_PATH)) {
            return emptyResponse(HttpResponseStatus.NOT_FOUND);
        }
        FullHttpResponse response = okResponse(metrics.text().getBytes(StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, PrometheusText.MEDIA_TYPE);
        return response;
    }

    private static FullHttpResponse okResponse(byte[] body) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
    }

    private static FullHttpResponse emptyResponse(HttpResponseStatus status) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    }
}
