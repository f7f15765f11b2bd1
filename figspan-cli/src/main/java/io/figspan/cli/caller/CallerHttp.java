package io.figspan.cli.caller;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.figspan.settings.cfg.PeerAddress;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.jackson.DatabindCodec;
import io.vertx.rxjava3.ContextScheduler;
import io.vertx.rxjava3.FlowableHelper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP for the caller commands. It never repeats a request by itself. */
final class CallerHttp {
    private static final Logger LOG = LoggerFactory.getLogger(CallerHttp.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_CONNECTIONS_PER_HOST = 512;
    private static final int HTTP_OK = 200;

    /** A whole answer. */
    record Reply(int status, String body) {}

    /** Members of a problem document that a caller needs. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record ProblemBody(
            @JsonProperty("kind") String kind,
            @JsonProperty("detail") String detail,
            @JsonProperty("run") String run,
            @JsonProperty("retryAfterMs") long retryAfterMs) {}

    /** A problem document as an exception. */
    static final class Refused extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final transient ProblemBody problem;

        Refused(ProblemBody problem) {
            super(problem.kind() + ": " + problem.detail());
            this.problem = problem;
        }

        ProblemBody problem() {
            return problem;
        }
    }

    private final Vertx vertx;
    private final HttpClient client;
    private final Scheduler scheduler;

    /** {@code vertx} must have one event loop, on which all calls run. */
    CallerHttp(Vertx vertx) {
        this.vertx = vertx;
        RxJavaPlugins.setErrorHandler(cause -> LOG.debug("error after the end of a request", cause));
        this.scheduler = new ContextScheduler(vertx.getOrCreateContext(), false);
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_HOST));
    }

    /** Runs timers on the event loop. */
    Scheduler scheduler() {
        return scheduler;
    }

    /** Sends a request and collects the answer, whatever its status; fails after the timeout. */
    Single<Reply> call(PeerAddress host, HttpMethod method, String path, CallHead head, String body, long timeoutMs) {
        Single<Reply> reply =
                exchange(options(host, method, path, head), Buffer.buffer(body), response -> response.body()
                        .map(received -> new Reply(response.statusCode(), received.toString())));
        return reply.timeout(timeoutMs, TimeUnit.MILLISECONDS, scheduler);
    }

    /** Opens an event stream. Fails with {@link Refused} for a problem document. */
    Flowable<Buffer> open(
            PeerAddress host, HttpMethod method, String path, CallHead head, Buffer body, long headTimeoutMs) {
        Single<HttpClientResponse> opened =
                exchange(options(host, method, path, head), body, response -> Future.succeededFuture(response.pause()));
        return opened.timeout(headTimeoutMs, TimeUnit.MILLISECONDS, scheduler).flatMapPublisher(response -> {
            Flowable<Buffer> data = FlowableHelper.toFlowable(response);
            if (response.statusCode() == HTTP_OK) {
                return data.doOnCancel(
                        () -> vertx.runOnContext(nothing -> response.request().reset()));
            }
            return data.reduce(Buffer.buffer(), Buffer::appendBuffer)
                    .flatMapPublisher(text -> Flowable.error(new Refused(parse(text.toString(), ProblemBody.class))));
        });
    }

    private <T> Single<T> exchange(
            RequestOptions options, Buffer body, Function<HttpClientResponse, Future<T>> reader) {
        return Single.create(emitter -> {
            // The emitter also runs its cancellable after a success, when the request must not be reset.
            AtomicBoolean answered = new AtomicBoolean();
            client.request(options)
                    .compose(request -> {
                        emitter.setCancellable(() -> {
                            if (!answered.get()) {
                                request.reset();
                            }
                        });
                        return request.send(body);
                    })
                    .compose(reader)
                    .onComplete(result -> {
                        answered.set(true);
                        if (result.succeeded()) {
                            emitter.onSuccess(result.result());
                        } else {
                            emitter.tryOnError(result.cause());
                        }
                    });
        });
    }

    /** Reads a successful reply; fails with {@link Refused} for a problem document. */
    <T> T read(Reply reply, Class<T> type) {
        if (reply.status() != HTTP_OK) {
            throw new Refused(parse(reply.body(), ProblemBody.class));
        }
        return parse(reply.body(), type);
    }

    static <T> T parse(String json, Class<T> type) {
        try {
            return DatabindCodec.mapper().readValue(json, type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static RequestOptions options(PeerAddress host, HttpMethod method, String path, CallHead head) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(host.address())
                .setPort(host.port())
                .setURI(path)
                .putHeader("Content-Type", "application/json");
        head.addTo(options);
        return options;
    }
}
