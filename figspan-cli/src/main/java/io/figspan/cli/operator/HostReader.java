package io.figspan.cli.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.figspan.settings.cfg.PeerAddress;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Reads one path of several hosts in parallel. */
final class HostReader implements AutoCloseable {
    /** Longest answer. A full time line of 16,384 events has about 4 MB. */
    private static final int MAX_ANSWER_BYTES = 32 << 20;

    /** Added to the timeout of the requests, so that each reports its own failure. */
    private static final long MARGIN_MS = 1_000;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The answer of one host: a document, or why there is none. */
    record Answer(PeerAddress address, JsonNode document, String failure) {
        boolean isOk() {
            return failure.isEmpty();
        }

        Answer refused(String reason) {
            return failed(address, reason);
        }
    }

    private final Vertx vertx = Vertx.vertx();
    private final int timeoutMs;
    private final HttpClient client;

    HostReader(int timeoutMs) {
        this.timeoutMs = timeoutMs;
        this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(timeoutMs));
    }

    /** Reads {@code path} of each host; the answers are in the order of the addresses. */
    List<Answer> readAll(List<PeerAddress> addresses, String path) {
        List<Future<Answer>> requests = new ArrayList<>();
        for (PeerAddress address : addresses) {
            requests.add(read(address, path));
        }
        List<Answer> answers = new ArrayList<>();
        for (int i = 0; i < requests.size(); i++) {
            answers.add(await(requests.get(i), addresses.get(i)));
        }
        return answers;
    }

    private Future<Answer> read(PeerAddress address, String path) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(address.address())
                .setPort(address.port())
                .setURI(path)
                .setTimeout(timeoutMs);
        return client.request(options)
                .compose(request -> sendAndRead(request, address))
                .otherwise(error -> failed(address, describe(error)));
    }

    /**
     * Attaches the reader of the body on the thread that delivers the response. Attached by the calling thread it could
     * come too late and wait for an end that has passed: seen in 5 of 12,028 requests with Vert.x 4.5.14.
     */
    private static Future<Answer> sendAndRead(HttpClientRequest request, PeerAddress address) {
        return request.send()
                .compose(response -> body(response).map(text -> toAnswer(address, response.statusCode(), text)));
    }

    private static Future<String> body(HttpClientResponse response) {
        Promise<String> done = Promise.promise();
        Buffer received = Buffer.buffer();
        response.exceptionHandler(done::tryFail);
        response.endHandler(unused -> done.tryComplete(received.toString()));
        response.handler(chunk -> {
            if (received.length() + chunk.length() > MAX_ANSWER_BYTES) {
                done.tryFail("the answer has more than " + MAX_ANSWER_BYTES + " bytes");
                response.request().reset();
                return;
            }
            received.appendBuffer(chunk);
        });
        return done.future();
    }

    private static Answer toAnswer(PeerAddress address, int status, String text) {
        if (status != 200) {
            return failed(address, "answered with status " + status);
        }
        try {
            return new Answer(address, MAPPER.readTree(text), "");
        } catch (JsonProcessingException e) {
            return failed(address, "the answer is not JSON");
        }
    }

    private Answer await(Future<Answer> request, PeerAddress address) {
        try {
            return request.toCompletionStage().toCompletableFuture().get(timeoutMs + MARGIN_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            return failed(address, "no answer in " + timeoutMs + " ms");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return failed(address, "interrupted");
        }
    }

    private static Answer failed(PeerAddress address, String reason) {
        return new Answer(address, MAPPER.missingNode(), reason);
    }

    private static String describe(Throwable error) {
        return error.getMessage() == null ? error.getClass().getSimpleName() : error.getMessage();
    }

    @Override
    public void close() {
        vertx.close();
    }
}
