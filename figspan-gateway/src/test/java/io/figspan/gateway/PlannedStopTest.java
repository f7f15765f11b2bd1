package io.figspan.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that end without an answer in a planned stop. The signal is dated back, so that the stop is
 * at once in the part of its grace period that a test needs.
 */
class PlannedStopTest {
    private static final long GRACE_MS = 8_000;

    /** Less is left than a request takes for which nothing is known, and more than the last answers take. */
    private static final long THIRD_QUARTER_MS = 4_500;

    /** An idle process ends from now on. */
    private static final long AFTER_LAST_ARRIVALS_MS = 3_000;

    /** Shortly before the last answers are given. */
    private static final long BEFORE_LAST_ANSWERS_MS = 7_100;

    private static final long TIMEOUT_MS = 15_000;
    private static final long LIMIT_S = 20;
    private static final int RECENT_REQUESTS = 8;

    /** Together more than the buffers of the connections hold. */
    private static final int LARGE_EVENTS = 200;

    private static final int LARGE_EVENT_BYTES = 100_000;
    private static final Pattern CONTENT_LENGTH = Pattern.compile("content-length: (\\d+)");
    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final String OK_HEAD = "HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n";

    private final Semaphore received = new Semaphore(0);
    private final List<Socket> sockets = new ArrayList<>();
    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void open() {
        gateway.open();
        gateway.onLoop(() -> gateway.forwarder().apply(gateway.settings(TIMEOUT_MS)));
    }

    private ScriptedServer addServer(String name, ScriptedServer.Script script) throws IOException {
        return gateway.add(name, (request, connection) -> {
            received.release();
            script.answer(request, connection);
        });
    }

    /** A server that never answers. */
    private ScriptedServer addEndless(String name) throws IOException {
        return addServer(name, (request, connection) -> connection.awaitClose());
    }

    private void awaitReceived() throws InterruptedException {
        assertTrue(received.tryAcquire(LIMIT_S, TimeUnit.SECONDS), "no server has received the request");
    }

    private Socket send(String method, String target, String moreHeaders) throws IOException {
        Socket socket = connect();
        write(socket, method, target, moreHeaders);
        return socket;
    }

    private Socket connect() throws IOException {
        Socket socket = gateway.connect();
        sockets.add(socket);
        return socket;
    }

    private static void write(Socket socket, String method, String target, String moreHeaders) throws IOException {
        socket.getOutputStream().write(GatewayHarness.request(method, target, moreHeaders, "body"));
    }

    /** Everything that is received until the connection is closed. */
    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** The next response on a connection that is kept. */
    private static String readResponse(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder response = new StringBuilder();
        while (response.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            assertTrue(next >= 0, "the connection ended without an answer");
            response.append((char) next);
        }
        Matcher length = CONTENT_LENGTH.matcher(response);
        assertTrue(length.find(), response.toString());
        in.readNBytes(Integer.parseInt(length.group(1)));
        return response.toString();
    }

    /** A connection on which a request was answered already. */
    private Socket connectKept() throws IOException {
        Socket socket = connect();
        write(socket, "GET", "/no-route/1", "");
        assertTrue(readResponse(socket).startsWith("HTTP/1.1 404"));
        return socket;
    }

    private static void assertNotRun(String response) {
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertTrue(response.contains("\"run\":\"notRun\""), response);
        assertTrue(response.contains("retry-after: 0."), response);
    }

    private static void assertMayHaveRun(String response) {
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
        assertTrue(response.contains("\"run\":\"unknown\""), response);
    }

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

    // Requests that arrive during the stop

    @ParameterizedTest
    @ValueSource(longs = {0, 2_100, 4_100, 6_100})
    void aShortRequestOnAKeptConnectionIsServedInEachQuarter(long elapsedMs) throws Exception {
        addServer("plain-1", (request, connection) -> connection.answer(request, 200, "", "ok"));
        addEndless("engine-1");
        open();
        keepBusy();
        Socket caller = connect();
        for (int number = 0; number < RECENT_REQUESTS; number++) {
            write(caller, "POST", "/order/" + number, "");
            assertTrue(readResponse(caller).startsWith("HTTP/1.1 200"));
        }
        gateway.stop(GRACE_MS, elapsedMs);
        write(caller, "POST", "/order/late", "");

        String response = readAll(caller);
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertTrue(response.contains("connection: close"), response);
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /read/, 4100",
        "GET, /read/, 6100",
        "POST, /order/, 100",
        "POST, /order/, 2100",
        "POST, /order/, 4100",
        "POST, /order/, 6100",
        "POST, /once/, 4100"
    })
    void aRequestThatMayLastLongerThanWhatIsLeftIsRefusedAtOnce(String method, String path, long elapsedMs)
            throws Exception {
        ScriptedServer plain = addEndless("plain-1");
        ScriptedServer engine = addEndless("engine-1");
        open();
        keepBusy();
        Socket caller = connectKept();
        gateway.stop(GRACE_MS, elapsedMs);
        write(caller, method, path + "late", "");

        assertNotRun(readAll(caller));
        assertFalse(gateway.isStopped());
        assertEquals(List.of(), plain.received());
        assertEquals(1, engine.received().size());
    }

    /** Guards against the guess of a duration for a route that was renamed, added or not used yet. */
    @ParameterizedTest
    @ValueSource(longs = {100, 2_100, 3_050})
    void aStreamOfWhichNoDurationIsKnownIsRefusedWhenItsTimeoutIsLongerThanWhatIsLeft(long elapsedMs) throws Exception {
        ScriptedServer engine = addEndless("engine-1");
        open();
        Socket caller = connectKept();
        gateway.stop(GRACE_MS, elapsedMs);
        write(caller, "POST", "/stream/late", "prompt-tokens: 50\r\n");

        assertNotRun(readAll(caller));
        assertEquals(List.of(), engine.received());
    }

    /** Guards against a request that is sent to a server while the process ends. */
    @Test
    void aRequestThatArrivesWhenTheProcessEndsIsNotSentToAServer() throws Exception {
        ScriptedServer server = addEndless("plain-1");
        open();
        gateway.onLoop(() -> gateway.forwarder().apply(gateway.settings(500)));
        Socket caller = connectKept();
        gateway.onLateLoop(
                () -> write(caller, "GET", "/read/late", ""),
                () -> gateway.beginStop(GRACE_MS, AFTER_LAST_ARRIVALS_MS));
        gateway.awaitStopped();
        gateway.awaitRead();

        assertNotRun(readAll(caller));
        assertEquals(List.of(), server.received());
    }

    /** Keeps a request in progress, since an idle process ends before the later quarters. */
    private void keepBusy() throws Exception {
        send("POST", "/stream/1", "prompt-tokens: 50\r\n");
        awaitReceived();
    }

    @Test
    void aRequestOnANewConnectionIsServedAfterTheSignal() throws Exception {
        addServer("plain-1", (request, connection) -> connection.answer(request, 200, "", "ok"));
        open();
        assertTrue(gateway.call("GET", "/read/1", "", "").startsWith("HTTP/1.1 200"));
        gateway.stop(GRACE_MS, 0);

        String response = gateway.call("GET", "/read/2", "", "");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }

    @Test
    void aRequestOfWhichNoDurationIsKnownIsServedWhenItsTimeoutEndsInTime() throws Exception {
        addServer("plain-1", (request, connection) -> connection.answer(request, 200, "", "ok"));
        open();
        gateway.onLoop(() -> gateway.forwarder().apply(gateway.settings(GRACE_MS / 2)));
        gateway.stop(GRACE_MS, 0);

        String response = gateway.call("GET", "/read/1", "", "");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }

    /** Guards against estimates that are lost with the name or the path of a route. */
    @Test
    void aStreamIsServedDuringTheStopAfterItsRouteWasRenamed() throws Exception {
        addServer(
                "engine-1",
                (request, connection) ->
                        connection.answer(request, 200, "content-type: text/event-stream\r\n", EVENT + EVENT));
        open();
        for (int number = 0; number < RECENT_REQUESTS; number++) {
            gateway.call("POST", "/stream/" + number, "prompt-tokens: 50\r\n", "");
        }
        gateway.onLoop(() -> gateway.forwarder().apply(gateway.renamedSettings(TIMEOUT_MS)));
        gateway.stop(GRACE_MS, 2_100);

        String response = gateway.call("POST", "/stream/late", "prompt-tokens: 50\r\n", "");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertTrue(response.endsWith("0\r\n\r\n"), response);
    }

    @Test
    void aRequestThatFailsIsNotSentAgainWhenNoTimeIsLeftForIt() throws Exception {
        Semaphore mayFail = new Semaphore(0);
        ScriptedServer one = addServer("plain-1", (request, connection) -> {
            mayFail.acquireUninterruptibly();
            connection.close();
        });
        open();
        Socket caller = send("GET", "/read/1", "");
        awaitReceived();
        gateway.stop(GRACE_MS, THIRD_QUARTER_MS);
        mayFail.release();

        assertMayHaveRun(readAll(caller));
        assertFalse(gateway.isStopped());
        assertEquals(1, one.received().size());
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
