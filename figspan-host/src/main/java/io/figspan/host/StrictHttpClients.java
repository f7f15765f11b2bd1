package io.figspan.host;

import com.codahale.metrics.MetricRegistry;
import io.figspan.core.event.Part;
import io.figspan.wire.http.InvalidResponseException;
import io.figspan.wire.http.ResponseSyntaxHandler;
import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates the HTTP clients for servers and the platform. Bytes of theirs that are no HTTP response fail the request,
 * which may have run, and close the connection.
 */
public final class StrictHttpClients {
    private static final Logger LOG = LoggerFactory.getLogger(StrictHttpClients.class);
    private static final String PREFIX = Part.WIRE.logPrefix();
    private static final String SYNTAX_HANDLER = "responseSyntax";
    private static final String INFORMATIONAL_HANDLER = "informationalResponses";

    private StrictHttpClients() {}

    public static HttpClient create(Vertx vertx, HttpClientOptions options, MetricRegistry metrics) {
        return create(vertx, options, options.getPoolOptions(), metrics);
    }

    public static HttpClient create(Vertx vertx, HttpClientOptions options, PoolOptions pool, MetricRegistry metrics) {
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(connection -> checkResponses(connection, metrics))
                .build();
    }

    /** The public interface of the client has no access to the bytes of a connection. */
    private static void checkResponses(HttpConnection connection, MetricRegistry metrics) {
        ChannelHandlerContext client = ((ConnectionBase) connection).channelHandlerContext();
        client.pipeline()
                .addFirst(SYNTAX_HANDLER, new ResponseSyntaxHandler())
                .addBefore(client.name(), INFORMATIONAL_HANDLER, new InformationalResponseFilter());
        connection.exceptionHandler(cause -> failed(connection, cause, metrics));
    }

    /** The request in progress fails too, with the same cause. */
    private static void failed(HttpConnection connection, Throwable cause, MetricRegistry metrics) {
        if (cause instanceof InvalidResponseException invalid) {
            String part = invalid.verdict().part().name().toLowerCase(Locale.ROOT);
            metrics.counter("responses.invalid." + part).inc();
        }
        LOG.warn("{} connection to {}: {}", PREFIX, connection.remoteAddress(), cause.getMessage());
    }
}
