package io.figspan.host.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.figspan.control.ticket.ServiceAnswer;
import io.figspan.core.id.BackendServerId;
import io.figspan.host.AnswerScripts;
import io.figspan.host.AnsweringServer;
import io.figspan.host.backend.BackendTable;
import io.figspan.settings.FleetList;
import io.reactivex.rxjava3.core.Notification;
import io.vertx.rxjava3.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against bytes of a service that are no HTTP response and count as the answer to an order (issue 59). */
class InvalidServiceAnswerTest {
    private static final int LIMIT_S = 20;
    private static final String ORDER = "{\"order\":1}";
    private static final String FIELDS = "content-type: text/plain|Figspan-Run: notRun|";

    private final Vertx vertx = Vertx.vertx();
    private final MetricRegistry metrics = new MetricRegistry();
    private AnsweringServer service;
    private BackendTable.Server server;

    @BeforeEach
    void start() throws IOException {
        service = new AnsweringServer();
        BackendServerId id = BackendServerId.of("orders-1");
        BackendTable table = service.table(id, FleetList.BackendKind.PLAIN_SERVICE);
        server = table.find(id).orElseThrow();
    }

    @AfterEach
    void stop() throws IOException {
        service.close();
        vertx.rxClose().blockingAwait();
    }

    private Notification<ServiceAnswer> write(String answer) {
        service.answerWith(AnswerScripts.expand(answer, FIELDS, "answer done"));
        ServiceWriter writer = new ServiceWriter(vertx, metrics);
        return writer.connect(server)
                .flatMap(connected -> writer.write(connected, "key", ORDER.getBytes(StandardCharsets.ISO_8859_1)))
                .timeout(LIMIT_S, TimeUnit.SECONDS)
                .materialize()
                .blockingGet();
    }

    static List<String> invalid() {
        return AnswerScripts.invalid().toList();
    }

    @ParameterizedTest
    @MethodSource("invalid")
    void bytesThatAreNoResponseAreNoAnswer(String answer) {
        Notification<ServiceAnswer> end = write(answer);
        assertTrue(end.isOnError(), String.valueOf(end));
        assertEquals(1, service.requests());
        long invalid = metrics.getCounters((name, metric) -> name.startsWith("responses.invalid.")).values().stream()
                .mapToLong(Counter::getCount)
                .sum();
        assertEquals(1, invalid);
    }

    static List<String> unusual() {
        return AnswerScripts.unusual().toList();
    }

    @ParameterizedTest
    @MethodSource("unusual")
    void anUnusualResponseIsAnAnswer(String answer) {
        Notification<ServiceAnswer> end = write(answer);
        assertTrue(end.isOnNext(), String.valueOf(end));
        assertEquals(200, end.getValue().status());
        assertEquals("answer done", new String(end.getValue().body().toBytes(), StandardCharsets.ISO_8859_1));
    }
}
