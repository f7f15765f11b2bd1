package io.figspan.host.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.figspan.host.AnswerScripts;
import io.figspan.host.AnsweringServer;
import io.figspan.host.BoundedResponse;
import io.figspan.settings.cfg.PeerAddress;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against bytes of the platform that are no HTTP response and count as settings or hosts (issue 59). */
class InvalidPlatformAnswerTest {
    private static final int LIMIT_S = 20;
    private static final int MAX_BYTES = 1_024;
    private static final String MANIFEST = "{\"version\":7,\"parts\":[]}";

    private final Vertx vertx = Vertx.vertx();
    private AnsweringServer platform;
    private PlatformClient client;

    @BeforeEach
    void start() throws IOException {
        platform = new AnsweringServer();
        client = new PlatformClient(vertx, new PeerAddress("127.0.0.1", platform.port()), new MetricRegistry());
    }

    @AfterEach
    void stop() throws Exception {
        platform.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_S, TimeUnit.SECONDS);
    }

    private String get(String answer) throws Exception {
        platform.answerWith(AnswerScripts.expand(answer, "Config-Index: 3|", MANIFEST));
        Buffer body = client.get("/", 10_000, response -> BoundedResponse.body(response, MAX_BYTES))
                .toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_S, TimeUnit.SECONDS);
        return body.toString();
    }

    static List<String> invalid() {
        return AnswerScripts.invalid().toList();
    }

    @ParameterizedTest
    @MethodSource("invalid")
    void bytesThatAreNoResponseAreNoAnswer(String answer) {
        assertThrows(ExecutionException.class, () -> get(answer));
        assertEquals(1, platform.requests());
    }

    static List<String> unusual() {
        return AnswerScripts.unusual().toList();
    }

    @ParameterizedTest
    @MethodSource("unusual")
    void anUnusualResponseIsAnAnswer(String answer) throws Exception {
        assertEquals(MANIFEST, get(answer));
    }
}
