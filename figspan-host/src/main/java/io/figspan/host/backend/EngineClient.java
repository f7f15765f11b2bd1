package io.figspan.host.backend;

import com.codahale.metrics.MetricRegistry;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.StreamId;
import io.figspan.host.BoundedResponse;
import io.figspan.host.StrictHttpClients;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.Json;
import io.vertx.core.json.jackson.DatabindCodec;
import io.vertx.rxjava3.FlowableHelper;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

/** HTTP client of the engines. It never retries; each call has a timeout. */
public final class EngineClient {
    private static final int HTTP_OK = 200;
    private static final int CONNECT_TIMEOUT_MS = 500;

    /** Connections to one engine; a stream in flight uses one. */
    private static final int MAX_CONNECTIONS_PER_ENGINE = 256;

    private static final int MAX_WAITING_CALLS_PER_ENGINE = 256;

    /** A report names the holds and models of an engine; all other replies are shorter. */
    private static final int MAX_REPLY_BYTES = 1_024 * 1_024;

    private static final int MAX_KV_BYTES = 16 * 1_024 * 1_024;

    /** An engine confirms a prompt or a hold within milliseconds; this bound covers a busy machine. */
    public static final long SHORT_CALL_TIMEOUT_MS = 2_000;

    private final Vertx vertx;
    private final HttpClient client;
    private final BackendTable table;

    public EngineClient(Vertx vertx, BackendTable table, MetricRegistry metrics) {
        this.vertx = vertx;
        this.table = table;
        this.client = StrictHttpClients.create(
                vertx,
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MS)
                        .setTcpNoDelay(true)
                        .setMaxWaitQueueSize(MAX_WAITING_CALLS_PER_ENGINE),
                new io.vertx.core.http.PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_ENGINE),
                metrics);
    }

    /** Sends a prompt and returns its answer stream. Disposing the subscription closes the connection. */
    public Flowable<EngineEvent> complete(BackendTable.Server server, EngineMessages.Completion completion) {
        return stream(server, HttpMethod.POST, "/v1/completions", Json.encodeToBuffer(completion));
    }

    /** Reads a running or finished stream from an offset. */
    public Flowable<EngineEvent> resume(BackendTable.Server server, StreamId stream, int offset) {
        String path = "/v1/streams/" + stream + "?offset=" + offset;
        return stream(server, HttpMethod.GET, path, Buffer.buffer());
    }

    /** Cancels a stream unless a newer reader than {@code readerNumber} is attached. */
    public Future<Integer> cancel(BackendTable.Server server, StreamId stream, long readerNumber) {
        String path = "/v1/streams/" + stream + "?reader=" + readerNumber;
        return call(server, HttpMethod.DELETE, path, Buffer.buffer(), SHORT_CALL_TIMEOUT_MS)
                .map(Reply::status);
    }

    /** Takes memory; fails unless the engine confirms it. */
    public Future<Void> takeHold(BackendTable.Server server, HoldHandle handle, long tokens, long expiresInMs) {
        Buffer body = Json.encodeToBuffer(new EngineMessages.HoldRequest(handle.toString(), tokens, expiresInMs));
        return call(server, HttpMethod.POST, "/v1/holds", body, SHORT_CALL_TIMEOUT_MS)
                .compose(EngineClient::requireOk)
                .mapEmpty();
    }

    /**
     * Returns memory. Idempotent. The result tells whether the engine held it.
     *
     * @param unreadOnly leave a hold whose stream has a reader
     */
    public Future<Boolean> releaseHold(BackendTable.Server server, HoldHandle handle, boolean unreadOnly) {
        String path = "/v1/holds/" + path(handle) + (unreadOnly ? "?unread=1" : "");
        return call(server, HttpMethod.DELETE, path, Buffer.buffer(), SHORT_CALL_TIMEOUT_MS)
                .map(reply -> reply.status() == HTTP_OK);
    }

    /** Prefills a segment into a hold. */
    public Future<Void> prefillSegment(
            BackendTable.Server server, HoldHandle handle, EngineMessages.Segment segment, long timeoutMs) {
        String path = "/v1/kv/segments/" + path(handle);
        return call(server, HttpMethod.POST, path, Json.encodeToBuffer(segment), timeoutMs)
                .compose(EngineClient::requireOk)
                .mapEmpty();
    }

    /** Exports the KV cache of a hold. */
    public Future<EngineMessages.KvBlob> exportKv(BackendTable.Server server, HoldHandle handle) {
        RequestOptions options = options(server, HttpMethod.GET, "/v1/kv/" + path(handle));
        return call(server, options.setTimeout(SHORT_CALL_TIMEOUT_MS), Buffer.buffer(), MAX_KV_BYTES)
                .compose(EngineClient::requireOk)
                .map(reply -> decode(reply.body(), EngineMessages.KvBlob.class));
    }

    /** Imports KV cache into a hold. */
    public Future<Void> importKv(BackendTable.Server server, HoldHandle handle, EngineMessages.KvBlob blob) {
        Buffer body = Json.encodeToBuffer(blob);
        return call(server, HttpMethod.PUT, "/v1/kv/" + path(handle), body, SHORT_CALL_TIMEOUT_MS)
                .compose(EngineClient::requireOk)
                .mapEmpty();
    }

    /** Asks for the full load report and notes it. */
    public Future<EngineMessages.Report> report(BackendTable.Server server) {
        return call(server, HttpMethod.GET, "/v1/report", Buffer.buffer(), SHORT_CALL_TIMEOUT_MS)
                .compose(EngineClient::requireOk)
                .map(reply -> decode(reply.body(), EngineMessages.Report.class))
                .onSuccess(report -> table.onReport(server, report, System.nanoTime()));
    }

    public Future<Void> close() {
        return client.close();
    }

    // Calls

    private record Reply(int status, Buffer body) {}

    private Future<Reply> call(
            BackendTable.Server server, HttpMethod method, String path, Buffer body, long timeoutMs) {
        return call(server, options(server, method, path).setTimeout(timeoutMs), body, MAX_REPLY_BYTES);
    }

    private Future<Reply> call(BackendTable.Server server, RequestOptions options, Buffer body, int maxReplyBytes) {
        return client.request(options).compose(request -> request.send(body)).compose(response -> {
            noteReport(server, response);
            return BoundedResponse.body(response, maxReplyBytes)
                    .map(received -> new Reply(response.statusCode(), received));
        });
    }

    private Flowable<EngineEvent> stream(BackendTable.Server server, HttpMethod method, String path, Buffer body) {
        Single<HttpClientResponse> response = Single.create(emitter -> {
            // The emitter also runs its cancellable after a success, when the request must not be reset.
            AtomicBoolean answered = new AtomicBoolean();
            client.request(options(server, method, path))
                    .compose(request -> {
                        emitter.setCancellable(() -> {
                            if (!answered.get()) {
                                request.reset();
                            }
                        });
                        return request.send(body);
                    })
                    .onComplete(result -> {
                        answered.set(true);
                        if (result.succeeded()) {
                            emitter.onSuccess(result.result());
                        } else {
                            emitter.tryOnError(result.cause());
                        }
                    });
        });
        return response.flatMapPublisher(opened -> {
            noteReport(server, opened);
            return events(opened);
        });
    }

    private Flowable<EngineEvent> events(HttpClientResponse response) {
        if (response.statusCode() != HTTP_OK) {
            return Single.<Buffer>create(emitter -> BoundedResponse.body(response, MAX_REPLY_BYTES)
                            .onSuccess(emitter::onSuccess)
                            .onFailure(emitter::tryOnError))
                    .flatMapPublisher(body -> Flowable.error(refused(response.statusCode(), body)));
        }
        HttpClientRequest request = response.request();
        long reader = parseReader(response.getHeader("Figspan-Reader"));
        SseParser parser = new SseParser();
        return FlowableHelper.toFlowable(response)
                .doOnCancel(() -> vertx.runOnContext(nothing -> request.reset()))
                .concatMapIterable(parser::feed)
                .startWithItem(new EngineEvent.Opened(reader));
    }

    private static long parseReader(String header) {
        return header == null ? 1 : Long.parseLong(header);
    }

    private void noteReport(BackendTable.Server server, HttpClientResponse response) {
        table.onCompactReport(server, response.getHeader("Figspan-Load"), System.nanoTime());
    }

    private static RequestOptions options(BackendTable.Server server, HttpMethod method, String path) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(server.address())
                .setPort(server.port())
                .setURI(path)
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .putHeader("Content-Type", "application/json");
    }

    /** The number sign of a handle would start a fragment in a path. */
    private static String path(HoldHandle handle) {
        return handle.toString().replace("#", "%23");
    }

    private static Future<Reply> requireOk(Reply reply) {
        return reply.status() == HTTP_OK
                ? Future.succeededFuture(reply)
                : Future.failedFuture(refused(reply.status(), reply.body()));
    }

    private static EngineRefusal refused(int status, Buffer body) {
        return new EngineRefusal(status, body.getString(0, Math.min(body.length(), 300)));
    }

    private static <T> T decode(Buffer body, Class<T> type) {
        try {
            return DatabindCodec.mapper().readValue(body.getBytes(), type);
        } catch (IOException e) {
            throw new FigspanException(ProblemKind.BACKEND_FAILED, e.getMessage(), Location.of("engine reply"), e);
        }
    }
}
