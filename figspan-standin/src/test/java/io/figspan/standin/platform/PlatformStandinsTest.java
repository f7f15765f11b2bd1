package io.figspan.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against watches that are never answered and against control routes without effect on what readers see. */
class PlatformStandinsTest {
    private static final String ADDRESS = "127.0.0.1";
    private static final long TIMEOUT_SECONDS = 20;

    private record Answer(int status, String index, String body) {}

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient();
    private PlatformStandins standins;

    @BeforeEach
    void start() throws Exception {
        standins = await(PlatformStandins.start(vertx, ADDRESS, 0));
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    @Test
    void aPendingWatchIsAnsweredByTheNextPublication() throws Exception {
        call(HttpMethod.POST, "/control/config/publish", "{\"version\":1,\"parts\":{\"a\":\"x\"}}");
        Answer first = call(HttpMethod.GET, "/config/settings/manifest", "");
        Future<Answer> watch =
                send(HttpMethod.GET, "/config/settings/manifest?watch=" + first.index() + "&waitMs=60000", "");
        call(HttpMethod.POST, "/control/config/publish", "{\"version\":2,\"parts\":{\"a\":\"y\"}}");
        Answer second = await(watch);
        assertEquals(200, second.status());
        assertTrue(second.body().startsWith("{\"version\":2,"), second.body());
    }

    @Test
    void aWatchWithoutAChangeIsAnsweredWithNotModified() throws Exception {
        assertEquals(304, call(HttpMethod.GET, "/config/k?watch=0&waitMs=1", "").status());
    }

    @Test
    void aServiceThatIsDownReturnsAnErrorAndStillCountsTheCall() throws Exception {
        call(HttpMethod.POST, "/control/config/mode?mode=down", "");
        assertEquals(503, call(HttpMethod.GET, "/config/k", "").status());
        Answer counts = call(HttpMethod.GET, "/control/config/counts", "");
        assertEquals("{\"gets\":1,\"watches\":0,\"callsByKey\":{\"k\":1}}", counts.body());
    }

    @Test
    void theStateOfABackendServerCanBeChanged() throws Exception {
        call(HttpMethod.POST, "/control/hosts/lag?ms=0", "");
        call(HttpMethod.POST, "/control/hosts", "{\"backendServers\":[{\"id\":\"e1\",\"state\":\"live\"}]}");
        call(HttpMethod.POST, "/control/hosts/state?id=e1&state=leaving", "");
        assertEquals(
                "{\"hosts\":[],\"backendServers\":[{\"id\":\"e1\",\"state\":\"leaving\"}]}",
                call(HttpMethod.GET, "/hosts", "").body());
    }

    private Answer call(HttpMethod method, String uri, String body) throws Exception {
        return await(send(method, uri, body));
    }

    private Future<Answer> send(HttpMethod method, String uri, String body) {
        return client.request(method, standins.port(), ADDRESS, uri).compose(request -> sendAndRead(request, body));
    }

    /** Reads the body on the thread that delivers the response; a handler attached later can miss its end. */
    private static Future<Answer> sendAndRead(HttpClientRequest request, String body) {
        return request.send(Buffer.buffer(body)).compose(response -> response.body()
                .map(bytes -> new Answer(
                        response.statusCode(),
                        response.getHeader(ConfigurationService.INDEX_HEADER),
                        bytes.toString())));
    }

    /** Waits for a result; the timeout only keeps a failing test from hanging. */
    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
