package io.figspan.host.order;

import com.codahale.metrics.MetricRegistry;
import io.figspan.control.ticket.AnswerBody;
import io.figspan.control.ticket.ServiceAnswer;
import io.figspan.host.BoundedResponse;
import io.figspan.host.StrictHttpClients;
import io.figspan.host.backend.BackendTable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.rxjava3.core.Vertx;
import io.vertx.rxjava3.core.http.HttpClient;
import io.vertx.rxjava3.core.http.HttpClientRequest;

/**
 * Connects to plain services and writes orders. Each order gets a fresh connection: on a kept one, a write to a server
 * that has just closed it could not be told from a write that arrived.
 */
final class ServiceWriter {
    /** The ticket id, for services that run a call once for all writes with the same key. */
    static final String KEY_HEADER = "Idempotency-Key";

    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_CONNECTIONS_PER_SERVER = 256;
    private static final int MAX_WAITING_FOR_CONNECTION = 1_024;
    private static final int FIRST_REFUSAL = 400;
    private static final int MAX_ANSWER_BYTES = 4 * 1_024 * 1_024;

    private final HttpClient client;

    ServiceWriter(Vertx vertx, MetricRegistry metrics) {
        this.client = HttpClient.newInstance(StrictHttpClients.create(
                vertx.getDelegate(),
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MS)
                        .setKeepAlive(false)
                        .setMaxPoolSize(MAX_CONNECTIONS_PER_SERVER)
                        .setMaxWaitQueueSize(MAX_WAITING_FOR_CONNECTION),
                metrics));
    }

    /** Connects; no byte is written yet. */
    Single<HttpClientRequest> connect(BackendTable.Server server) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(server.address())
                .setPort(server.port())
                .setURI("/v1/run");
        return client.rxRequest(options);
    }

    /** Writes the order once and reads the answer; the client follows no redirects and never writes again. */
    Single<ServiceAnswer> write(HttpClientRequest connected, String key, byte[] body) {
        connected.putHeader("Content-Type", "application/json").putHeader(KEY_HEADER, key);
        var request = connected.getDelegate();
        return Single.create(emitter -> {
            Future<Void> written = request.end(Buffer.buffer(body));
            request.response()
                    .compose(response -> BoundedResponse.body(response, written, MAX_ANSWER_BYTES)
                            .map(answer -> toAnswer(response, answer)))
                    .onSuccess(emitter::onSuccess)
                    .onFailure(emitter::tryOnError);
        });
    }

    private static ServiceAnswer toAnswer(HttpClientResponse response, Buffer body) {
        String mediaType = response.getHeader("Content-Type");
        ServiceAnswer answer = ServiceAnswer.of(
                response.statusCode(),
                mediaType == null ? "application/octet-stream" : mediaType,
                AnswerBody.of(body.getBytes()));
        return answer.withClaimsNotRun(claimsNotRun(response, body));
    }

    /** A refusal states that nothing was run in the header {@code Figspan-Run} or the JSON member {@code run}. */
    private static boolean claimsNotRun(HttpClientResponse response, Buffer body) {
        if (response.statusCode() < FIRST_REFUSAL) {
            return false;
        }
        if ("notRun".equals(response.getHeader(OutcomeForm.RUN_HEADER))) {
            return true;
        }
        try {
            return body.length() > 0 && "notRun".equals(new JsonObject(body.toString()).getString("run"));
        } catch (DecodeException | ClassCastException e) {
            return false;
        }
    }
}
