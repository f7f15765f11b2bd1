package io.figspan.host.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.StreamId;
import io.figspan.host.AnswerScripts;
import io.figspan.host.AnsweringServer;
import io.figspan.settings.FleetList;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against bytes of an engine that are no HTTP response and count as a hold, a report or a stream (issue 59). */
class InvalidEngineAnswerTest {
    private static final int LIMIT_S = 20;
    private static final String EVENT = "data: {\"stream\":\"s-1\",\"offset\":1,\"done\":true}\n\n";

    private static final String REPORT = "{\"server\":\"engine-1\",\"incarnation\":1,\"sequence\":1,\"state\":\"live\","
            + "\"cache_hint\":\"0\",\"models\":[],\"holds\":[],\"cache_events\":[]}";

    private final Vertx vertx = Vertx.vertx();
    private AnsweringServer engine;
    private BackendTable.Server server;
    private EngineClient client;

    @BeforeEach
    void start() throws IOException {
        engine = new AnsweringServer();
        BackendServerId id = BackendServerId.of("engine-1");
        BackendTable table = engine.table(id, FleetList.BackendKind.MODEL_ENGINE);
        server = table.find(id).orElseThrow();
        client = new EngineClient(vertx, table, new MetricRegistry());
    }

    @AfterEach
    void stop() throws Exception {
        engine.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_S, TimeUnit.SECONDS);
    }

    private static <T> T await(Future<T> result) throws Exception {
        return result.toCompletionStage().toCompletableFuture().get(LIMIT_S, TimeUnit.SECONDS);
    }

    static List<String> invalid() {
        return AnswerScripts.invalid().toList();
    }

    static List<String> unusual() {
        return AnswerScripts.unusual().toList();
    }

    @ParameterizedTest
    @MethodSource("invalid")
    void bytesThatAreNoResponseConfirmNoHold(String answer) {
        engine.answerWith(AnswerScripts.expand(answer, "", "{}"));
        HoldHandle handle = HoldHandle.parse("host-1@1#1");
        assertThrows(ExecutionException.class, () -> await(client.takeHold(server, handle, 10, 1_000)));
        assertThrows(ExecutionException.class, () -> await(client.releaseHold(server, handle, false)));
    }

    @ParameterizedTest
    @MethodSource("unusual")
    void anUnusualResponseConfirmsAHold(String answer) throws Exception {
        engine.answerWith(AnswerScripts.expand(answer, "", "{}"));
        await(client.takeHold(server, HoldHandle.parse("host-1@1#1"), 10, 1_000));
        assertEquals(1, engine.requests());
    }

    @ParameterizedTest
    @MethodSource("invalid")
    void bytesThatAreNoResponseAreNoReport(String answer) {
        engine.answerWith(AnswerScripts.expand(answer, "", REPORT));
        assertThrows(ExecutionException.class, () -> await(client.report(server)));
    }

    @ParameterizedTest
    @MethodSource("unusual")
    void anUnusualResponseIsAReport(String answer) throws Exception {
        engine.answerWith(AnswerScripts.expand(answer, "", REPORT));
        assertEquals("engine-1", await(client.report(server)).server());
    }

    /** Also if the part before the invalid bytes holds the event that ends the stream. */
    @ParameterizedTest
    @MethodSource("invalid")
    void bytesThatAreNoResponseAreNoStream(String answer) {
        engine.answerWith(AnswerScripts.expand(answer, "", EVENT));
        var events = client.resume(server, StreamId.of("s-1"), 0).test().awaitDone(LIMIT_S, TimeUnit.SECONDS);
        events.assertError(Throwable.class);
        assertTrue(
                events.values().stream().noneMatch(EngineEvent.Ended.class::isInstance),
                events.values().toString());
    }

    @ParameterizedTest
    @MethodSource("unusual")
    void anUnusualResponseIsAStream(String answer) {
        engine.answerWith(AnswerScripts.expand(answer, "", EVENT));
        var events = client.resume(server, StreamId.of("s-1"), 0).test().awaitDone(LIMIT_S, TimeUnit.SECONDS);
        assertTrue(
                events.values().stream().anyMatch(EngineEvent.Ended.class::isInstance),
                events.values().toString());
    }
}
