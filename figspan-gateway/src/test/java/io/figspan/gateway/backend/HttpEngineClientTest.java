package io.figspan.gateway.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.control.hold.HoldAction;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.InvalidAnswers;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.TestProtocol;
import io.figspan.gateway.log.DecisionLog;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an outcome that differs from what an engine did, over real connections. */
class HttpEngineClientTest {
    /** Bounds the duration of a test that hangs. */
    private static final long HANG_TIMEOUT_S = 120;

    /** Longer than a test may take, so that only an engine's answer or a closed connection decides the outcome. */
    private static final long LONG_TIMEOUT_MS = TimeUnit.SECONDS.toMillis(2 * HANG_TIMEOUT_S);

    private static final long SHORT_TIMEOUT_MS = 1;

    private static final BackendServerId ENGINE = BackendServerId.of("engine");
    private static final BackendIncarnation PROCESS = new BackendIncarnation(ENGINE, 0);
    private static final HoldHandle HANDLE = new HoldHandle(new HostIncarnation(HostId.of("host"), 1), 7);
    private static final HoldAction.Reserve RESERVE = new HoldAction.Reserve(PROCESS, HANDLE, 1_000, 3_000);
    private static final HoldAction.Release RELEASE = new HoldAction.Release(PROCESS, HANDLE);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final BackendPools pools = new BackendPools(loop, new DecisionLog());
    private final HttpEngineClient client = new HttpEngineClient(loop, pools, new TestProtocol());

    /** A request sent by the client. */
    private interface Request {
        void send(Consumer<EngineOutcome> listener);
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static ScriptedServer answering(int status) throws Exception {
        return new ScriptedServer((request, connection) -> connection.answer(request, status, "", ""));
    }

    private void register(ScriptedServer engine) {
        BackendServer server = new BackendServer(
                ENGINE, ServiceId.of("engines"), engine.address(), AvailabilityZoneId.of("zone"), 4, false, 0, 1);
        loop.submit(() -> pools.put(server)).syncUninterruptibly();
    }

    private EngineOutcome outcome(Request request) throws Exception {
        CompletableFuture<EngineOutcome> outcome = new CompletableFuture<>();
        loop.submit(() -> request.send(outcome::complete)).syncUninterruptibly();
        return outcome.get(HANG_TIMEOUT_S, TimeUnit.SECONDS);
    }

    private EngineOutcome reserve(long timeoutMs) throws Exception {
        return outcome(listener -> client.reserve(RESERVE, timeoutMs, listener));
    }

    private EngineOutcome release(long timeoutMs) throws Exception {
        return outcome(listener -> client.release(RELEASE, timeoutMs, listener));
    }

    private EngineOutcome probe(ScriptedServer engine, long timeoutMs) throws Exception {
        return outcome(listener -> client.probe(ENGINE, engine.address(), timeoutMs, listener));
    }

    @Test
    void requestsThatAreAnsweredAreDone() throws Exception {
        try (ScriptedServer engine = answering(200)) {
            register(engine);

            assertEquals(EngineOutcome.done(), reserve(LONG_TIMEOUT_MS));
            assertEquals(EngineOutcome.done(), release(LONG_TIMEOUT_MS));
            assertEquals(EngineOutcome.done(), probe(engine, LONG_TIMEOUT_MS));

            assertEquals(
                    "/reserve?" + HANDLE + "&1000", engine.received().get(0).target());
            assertEquals("/release?" + HANDLE, engine.received().get(1).target());
            assertEquals("/report", engine.received().get(2).target());
        }
    }

    /** Guards against memory in use that is lost, or reserved anew, because the zone of its engine is evacuated. */
    @Test
    void anEngineInAnEvacuatedZoneGetsNoNewHoldsButRenewalsReleasesAndChecks() throws Exception {
        try (ScriptedServer engine = answering(200)) {
            register(engine);
            StoreRevision revision = new StoreRevision(1, 1);
            loop.submit(() -> pools.evacuations().update(Map.of(AvailabilityZoneId.of("zone"), revision), revision, 0))
                    .syncUninterruptibly();

            assertFalse(client.acceptsRequests(ENGINE));
            assertTrue(client.isRegistered(ENGINE));
            assertTrue(client.tryMessage(ENGINE));
            assertTrue(reserve(LONG_TIMEOUT_MS).isDone());
            assertTrue(release(LONG_TIMEOUT_MS).isDone());
            assertTrue(probe(engine, LONG_TIMEOUT_MS).isDone());
        }
    }

    @Test
    void requestsThatAreRefusedReportTheStatus() throws Exception {
        try (ScriptedServer engine = answering(409)) {
            register(engine);

            assertEquals(EngineOutcome.refused("status 409"), reserve(LONG_TIMEOUT_MS));
            assertEquals(EngineOutcome.refused("status 409"), release(LONG_TIMEOUT_MS));
            assertEquals(EngineOutcome.refused("status 409"), probe(engine, LONG_TIMEOUT_MS));
        }
    }

    /** Guards against the status of a busy engine being taken for the loss of the memory that it holds. */
    @ParameterizedTest
    @ValueSource(ints = {429, 500, 503})
    void requestsThatAreRejectedSayNothingOfTheMemory(int status) throws Exception {
        try (ScriptedServer engine = answering(status)) {
            register(engine);

            assertEquals(EngineOutcome.rejected("status " + status), reserve(LONG_TIMEOUT_MS));
            assertEquals(EngineOutcome.rejected("status " + status), release(LONG_TIMEOUT_MS));
            assertEquals(EngineOutcome.rejected("status " + status), probe(engine, LONG_TIMEOUT_MS));
        }
    }

    @Test
    void requestsWhoseConnectionIsClosedHaveNoResponse() throws Exception {
        try (ScriptedServer engine = new ScriptedServer((request, connection) -> connection.close())) {
            register(engine);

            assertNoResponse(reserve(LONG_TIMEOUT_MS));
            assertNoResponse(release(LONG_TIMEOUT_MS));
            assertNoResponse(probe(engine, LONG_TIMEOUT_MS));
        }
    }

    static List<String> invalidAnswers() {
        return InvalidAnswers.withBody("ok");
    }

    /** Guards against memory that counts as held, or an engine as healthy, by bytes that are no response (issue 59). */
    @ParameterizedTest
    @MethodSource("invalidAnswers")
    void requestsWhoseAnswerIsInvalidHaveNoResponse(String answer) throws Exception {
        try (ScriptedServer engine = new ScriptedServer((request, connection) -> {
            connection.write(answer);
            connection.close();
        })) {
            register(engine);

            assertNoResponse(reserve(LONG_TIMEOUT_MS));
            assertNoResponse(release(LONG_TIMEOUT_MS));
            assertNoResponse(probe(engine, LONG_TIMEOUT_MS));
        }
    }

    @Test
    void requestsThatAreNeverAnsweredHaveNoResponse() throws Exception {
        try (ScriptedServer engine = new ScriptedServer((request, connection) -> connection.awaitClose())) {
            register(engine);

            assertNoResponse(reserve(SHORT_TIMEOUT_MS));
            assertNoResponse(release(SHORT_TIMEOUT_MS));
            assertNoResponse(probe(engine, SHORT_TIMEOUT_MS));
        }
    }

    private static void assertNoResponse(EngineOutcome outcome) {
        assertEquals(EngineOutcome.Kind.NO_RESPONSE, outcome.kind());
        assertFalse(outcome.reason().isEmpty(), "a failure needs a reason");
    }

    /** Guards against a probe that fails only because the engine has closed an idle connection. */
    @Test
    void eachProbeOpensAConnectionOfItsOwn() throws Exception {
        try (ScriptedServer engine = answering(200)) {
            register(engine);
            reserve(LONG_TIMEOUT_MS);

            probe(engine, LONG_TIMEOUT_MS);
            probe(engine, LONG_TIMEOUT_MS);

            long connections = engine.received().stream()
                    .map(ScriptedServer.Received::connection)
                    .distinct()
                    .count();
            assertEquals(3, connections);
        }
    }

    @Test
    void anEngineThatIsNoLongerRegisteredCanStillBeProbed() throws Exception {
        try (ScriptedServer engine = answering(200)) {
            register(engine);
            assertTrue(client.isRegistered(ENGINE));

            loop.submit(() -> pools.remove(ENGINE)).syncUninterruptibly();

            assertFalse(client.isRegistered(ENGINE));
            assertEquals(EngineOutcome.done(), probe(engine, LONG_TIMEOUT_MS));
        }
    }
}
