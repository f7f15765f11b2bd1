package io.figspan.host.platform;

import com.codahale.metrics.MetricRegistry;
import io.figspan.host.StrictHttpClients;
import io.figspan.settings.cfg.PeerAddress;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.function.Function;

/**
 * Sends GET requests to a service of the platform. All callbacks run on one context, because the events of a response
 * that arrive before their handler is set are lost, and the body would be awaited without end. Methods may be called
 * from any thread.
 */
final class PlatformClient {
    private static final int CONNECT_TIMEOUT_MS = 500;

    private final Vertx vertx;
    private final Context context;
    private final PeerAddress service;
    private final HttpClient client;

    PlatformClient(Vertx vertx, PeerAddress service, MetricRegistry metrics) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.service = service;
        this.client =
                StrictHttpClients.create(vertx, new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS), metrics);
    }

    /**
     * Sends a request.
     *
     * @param timeoutMs limit of the whole exchange, including the body
     * @param reader reads the response
     */
    <T> Future<T> get(String uri, long timeoutMs, Function<HttpClientResponse, Future<T>> reader) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(service.address())
                .setPort(service.port())
                .setURI(uri)
                .setTimeout(timeoutMs);
        Promise<T> result = Promise.promise();
        context.runOnContext(ignored -> client.request(options)
                .compose(request -> exchange(request, timeoutMs, reader))
                .onComplete(result));
        return result.future();
    }

    /** Sends a request and reads its whole response. The timeout of the request itself ends with the head. */
    private <T> Future<T> exchange(
            HttpClientRequest request, long timeoutMs, Function<HttpClientResponse, Future<T>> reader) {
        long timer = vertx.setTimer(timeoutMs, ignored -> request.reset());
        return request.send().compose(reader).onComplete(ignored -> vertx.cancelTimer(timer));
    }
}
