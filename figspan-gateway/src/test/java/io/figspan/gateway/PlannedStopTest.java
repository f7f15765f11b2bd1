package io.figspan.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests in progress that end without an answer in a planned stop. */
class PlannedStopTest extends PlannedStopScenario {
    // Requests that have not run

    @Test
    void aRequestWhoseBodyIsStillArrivingIsRefusedAsSoonAsItCannotEndInTime() throws Exception {
        ScriptedServer server = addEndless("plain-1");
        open();
        Socket caller = connect();
        caller.getOutputStream()
                .write(
                        """
                POST /order/1 HTTP/1.1\r
                host: a.example\r
                attempt: a-1\r
                key: k-1\r
                content-length: 9\r
                \r
                part"""
                                .getBytes(StandardCharsets.ISO_8859_1));
        gateway.stop(GRACE_MS, THIRD_QUARTER_MS);

        assertNotRun(readAll(caller));
        assertFalse(gateway.isStopped());
        assertEquals(List.of(), server.received());
    }

    @Test
    void aRequestOfWhichOnlyAPartOfTheHeadHasArrivedIsRefusedBeforeTheEnd() throws Exception {
        open();
        Socket caller = connect();
        caller.getOutputStream().write("GET /read/1 HTT".getBytes(StandardCharsets.ISO_8859_1));
        while (gateway.unfinishedCallers() == 0) {
            Thread.onSpinWait();
        }
        gateway.stop(GRACE_MS, BEFORE_LAST_ANSWERS_MS);

        assertNotRun(readAll(caller));
    }

    @ParameterizedTest
    @CsvSource({"GET, /read/", "POST, /order/"})
    void aRequestThatIsQueuedForPlacementIsRefusedAsSoonAsItCannotEndInTime(String method, String path)
            throws Exception {
        ScriptedServer server = addEndless("plain-1");
        open();
        for (int number = 0; number < GatewayHarness.SLOTS; number++) {
            send(method, path + number, "");
            awaitReceived();
        }
        Socket queued = send(method, path + "queued", "");
        gateway.awaitWaiting(1);
        gateway.stop(GRACE_MS, THIRD_QUARTER_MS);

        assertNotRun(readAll(queued));
        assertFalse(gateway.isStopped());
        assertEquals(GatewayHarness.SLOTS, server.received().size());
    }

    @Test
    void aRequestThatWaitsForTheSettingsIsRefusedAtTheSignal() throws Exception {
        Socket caller = send("GET", "/read/1", "");
        while (gateway.unfinishedCallers() == 0) {
            Thread.onSpinWait();
        }
        gateway.stop(GRACE_MS, 0);

        assertNotRun(readAll(caller));
        assertFalse(gateway.isStopped());
    }

    @Test
    void aRequestThatWaitsForMemoryIsRefusedAndWhatItHasReservedIsReleased() throws Exception {
        Map<String, ScriptedServer> engines =
                addEngines(request -> !request.target().startsWith("/reserve"));
        open();
        Socket caller = send("POST", "/stream/1", "prompt-tokens: 150000\r\n");
        awaitReceived();
        gateway.stop(GRACE_MS, THIRD_QUARTER_MS);

        assertNotRun(readAll(caller));
        gateway.awaitStopped();
        assertAllReleased(engines);
    }

    @Test
    void aRequestBehindAnotherOneOnItsConnectionGetsAnAnswerOfItsOwn() throws Exception {
        addEndless("plain-1");
        open();
        Socket caller = connect();
        String first = new String(GatewayHarness.request("POST", "/order/1", "", ""), StandardCharsets.ISO_8859_1);
        String both = first + first.replace("/order/1", "/order/2");
        caller.getOutputStream().write(both.getBytes(StandardCharsets.ISO_8859_1));
        awaitReceived();
        gateway.stop(GRACE_MS, BEFORE_LAST_ANSWERS_MS);

        String responses = readAll(caller);
        int second = responses.lastIndexOf("HTTP/1.1");
        assertMayHaveRun(responses.substring(0, second));
        assertNotRun(responses.substring(second));
    }

    /** Guards against an answer that leaves open whether a request has run that no server has received. */
    @Test
    void aRequestWhoseConnectionToTheServerIsNotEstablishedIsRefused() throws Exception {
        ScriptedServer server = addEndless("plain-1");
        open();
        Socket caller = connectKept();
        gateway.onLateLoop(
                () -> write(caller, "POST", "/order/1", ""),
                () -> gateway.afterNextRead(this::beginStopAndEndRequests));

        assertNotRun(readAll(caller));
        gateway.awaitStopped();
        assertEquals(List.of(), server.received());
    }

    private void beginStopAndEndRequests() {
        gateway.beginStop(GRACE_MS, BEFORE_LAST_ANSWERS_MS);
        gateway.tickShutdown(GRACE_MS - BEFORE_LAST_ANSWERS_MS);
    }

    /** Guards against a stop that begins between the decision to send a request and its write. */
    @Test
    void aRequestIsNotWrittenWhenTheStopLeavesItNoTimeAfterItsConnectionIsEstablished() throws Exception {
        ScriptedServer server = addEndless("plain-1");
        open();
        Socket caller = connectKept();
        gateway.pauseShutdownTimer();
        gateway.onLateLoop(
                () -> write(caller, "POST", "/order/1", ""),
                () -> gateway.afterNextRead(() -> gateway.beginStop(GRACE_MS, THIRD_QUARTER_MS)));

        assertNotRun(readAll(caller));
        gateway.resumeShutdownTimer();
        gateway.awaitStopped();
        assertEquals(List.of(), server.received());
    }

    // Requests that may have run

    @ParameterizedTest
    @CsvSource({"GET, /read/1", "POST, /order/1"})
    void aRequestThatAServerHasIsAnsweredBeforeTheEnd(String method, String target) throws Exception {
        addEndless("plain-1");
        open();
        Socket caller = send(method, target, "");
        awaitReceived();
        gateway.stop(GRACE_MS, BEFORE_LAST_ANSWERS_MS);

        String response = readAll(caller);
        assertMayHaveRun(response);
        assertEquals(method.equals("GET"), response.contains("retry-after"), response);
    }

    @ParameterizedTest
    @ValueSource(strings = {"/stream/1", "/once/1"})
    void aStreamWithoutAnEventIsAnsweredBeforeTheEnd(String target) throws Exception {
        addServer("engine-1", (request, connection) -> {
            connection.begin(request, 200, "content-type: text/event-stream\r\n");
            connection.awaitClose();
        });
        open();
        Socket caller = send("POST", target, "prompt-tokens: 50\r\n");
        awaitReceived();
        gateway.stop(GRACE_MS, BEFORE_LAST_ANSWERS_MS);

        assertMayHaveRun(readAll(caller));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/stream/1", "/once/1"})
    void aStreamThatHasBegunEndsBetweenTwoEvents(String target) throws Exception {
        addServer("engine-1", (request, connection) -> {
            connection.begin(request, 200, "content-type: text/event-stream\r\n");
            connection.write(EVENT + "id: 2\ndata:");
            connection.awaitClose();
        });
        open();
        Socket caller = send("POST", target, "prompt-tokens: 50\r\n");
        awaitReceived();
        gateway.stop(GRACE_MS, BEFORE_LAST_ANSWERS_MS);

        String response = readAll(caller);
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertTrue(response.endsWith(EVENT + "\r\n"), response);
        gateway.awaitStopped();
    }

    @Test
    void aStreamWhoseCallerReadsSlowlyEndsBetweenTwoEvents() throws Exception {
        String event = "id: 1\ndata: " + "a".repeat(LARGE_EVENT_BYTES) + "\n\n";
        addServer("engine-1", (request, connection) -> {
            connection.begin(request, 200, "content-type: text/event-stream\r\n");
            for (int number = 0; number < LARGE_EVENTS; number++) {
                connection.write(event);
            }
            connection.awaitClose();
        });
        open();
        Socket caller = send("POST", "/stream/1", "prompt-tokens: 50\r\n");
        gateway.awaitUnsentBytes();
        gateway.stop(GRACE_MS, BEFORE_LAST_ANSWERS_MS);
        gateway.awaitInterrupted(1);

        String response = readAll(caller);
        assertTrue(response.endsWith(event + "\r\n"), () -> response.substring(response.length() - 20));
        gateway.awaitStopped();
    }

    @Test
    void memoryAtOtherEnginesIsReleasedBeforeTheProcessEnds() throws Exception {
        Map<String, ScriptedServer> engines =
                addEngines(request -> !request.target().startsWith("/stream"));
        open();
        Socket caller = send("POST", "/stream/1", "prompt-tokens: 150000\r\n");
        while (engines.values().stream()
                .flatMap(engine -> engine.received().stream())
                .noneMatch(PlannedStopTest::isPrompt)) {
            awaitReceived();
        }
        assertTrue(gateway.openHolds() > 0);
        gateway.stop(GRACE_MS, BEFORE_LAST_ANSWERS_MS);

        assertMayHaveRun(readAll(caller));
        gateway.awaitStopped();
        assertAllReleased(engines);
    }

    private static boolean isPrompt(Received request) {
        return request.target().startsWith("/stream");
    }

    /** Adds engines that answer some requests and never the others. */
    private Map<String, ScriptedServer> addEngines(Predicate<Received> isAnswered) throws IOException {
        Map<String, ScriptedServer> engines = new HashMap<>();
        for (int number = 0; number < 4; number++) {
            String name = "engine-" + number;
            engines.put(name, addServer(name, (request, connection) -> {
                if (isAnswered.test(request)) {
                    connection.write(OK_HEAD);
                } else {
                    connection.awaitClose();
                }
            }));
        }
        return engines;
    }

    private void assertAllReleased(Map<String, ScriptedServer> engines) {
        assertEquals(0, gateway.openHolds());
        for (ScriptedServer engine : engines.values()) {
            assertEquals(count(engine, "/reserve"), count(engine, "/release"));
        }
    }

    private static long count(ScriptedServer engine, String path) {
        return engine.received().stream()
                .map(request -> request.target().split("&", 2)[0])
                .filter(target -> target.startsWith(path))
                .distinct()
                .count();
    }

    // Events during the stop

    @Test
    void theProcessEndsAsSoonAsTheLastAnswerIsWritten() throws Exception {
        Semaphore mayAnswer = new Semaphore(0);
        addServer("plain-1", (request, connection) -> {
            mayAnswer.acquireUninterruptibly();
            connection.answer(request, 200, "", "ok");
        });
        open();
        Socket caller = send("GET", "/read/1", "");
        awaitReceived();
        gateway.stop(TimeUnit.HOURS.toMillis(1), TimeUnit.MINUTES.toMillis(1));
        mayAnswer.release();

        assertTrue(readAll(caller).startsWith("HTTP/1.1 200"));
        gateway.awaitStopped();
    }

    @Test
    void aSecondSignalAndAnotherGracePeriodDoNotMoveTheEnd() throws Exception {
        addEndless("plain-1");
        open();
        Socket caller = send("GET", "/read/1", "");
        awaitReceived();
        gateway.stop(GRACE_MS, BEFORE_LAST_ANSWERS_MS);
        gateway.setGraceMs(TimeUnit.HOURS.toMillis(1));
        gateway.stop(TimeUnit.HOURS.toMillis(1), 0);

        assertMayHaveRun(readAll(caller));
        gateway.awaitStopped();
    }

    @Test
    void newSettingsDuringTheStopLeaveTheEndAndTheRequestsAsTheyAre() throws Exception {
        addEndless("plain-1");
        open();
        Socket caller = send("POST", "/order/1", "");
        awaitReceived();
        gateway.stop(GRACE_MS, BEFORE_LAST_ANSWERS_MS);
        gateway.onLoop(() -> gateway.forwarder().apply(gateway.settings(100)));

        assertMayHaveRun(readAll(caller));
        gateway.awaitStopped();
    }

    @Test
    void aProcessThatWasPausedBeyondItsEndAcceptsNothingMore() throws Exception {
        ScriptedServer server = addEndless("plain-1");
        open();
        Socket sent = send("POST", "/order/1", "");
        awaitReceived();
        Socket kept = connectKept();
        gateway.pauseShutdownTimer();
        gateway.stop(GRACE_MS, GRACE_MS);
        write(kept, "GET", "/read/2", "");

        assertNotRun(readAll(kept));
        assertEquals(1, server.received().size());
        gateway.resumeShutdownTimer();
        assertMayHaveRun(readAll(sent));
        gateway.awaitStopped();
    }
}
