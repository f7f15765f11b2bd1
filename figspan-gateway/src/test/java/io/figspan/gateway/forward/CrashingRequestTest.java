package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a request that comes again and again and crashes each backend server which runs it. */
class CrashingRequestTest {
    private static final int SERVERS = 12;

    /** Repeats of the request after which it must be known; crashes at almost the same time count as one. */
    private static final int MAX_REQUESTS = 2_000;

    private static final int LATER_REQUESTS = 30;

    private static final String DEADLY = "deadly";
    private static final String CHUNKED = "transfer-encoding: chunked\r\n";
    private static final String CHUNK_WITH_EVENT = "f\r\nid: %d\ndata: a\n\n\r\n";
    private static final String PARTS = "shared-part: f1\r\nshared-part: d1\r\n";

    private final Map<String, ScriptedServer> servers = new HashMap<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private GatewayHarness gateway;
    private final Map<String, Socket> callersByAttempt = new ConcurrentHashMap<>();
    private int attempts;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        for (ScriptedServer server : servers.values()) {
            server.close();
        }
    }

    private interface Ending {
        void end(ScriptedServer.Received request, ScriptedServer.Connection connection) throws IOException;
    }

    /** Starts servers that crash under the deadly request of house-1, and answer all others. */
    private void startServers(String kind, Ending ending) throws IOException {
        startServers(
                kind,
                request -> isDeadly(request) && request.header("organisation").equals("house-1"),
                ending);
    }

    private interface Condition {
        boolean holds(ScriptedServer.Received request);
    }

    private static boolean isDeadly(ScriptedServer.Received request) {
        return (request.target() + request.body()).contains(DEADLY);
    }

    private void startServers(String kind, Condition crash, Ending ending) throws IOException {
        for (int number = 0; number < SERVERS; number++) {
            String name = kind + "-" + number;
            servers.put(name, new ScriptedServer((request, connection) -> {
                if (crash.holds(request)) {
                    crashes.incrementAndGet();
                    gateway.restart(name, servers.get(name));
                    ending.end(request, connection);
                } else if (kind.equals("engine")) {
                    answerStream(request, connection);
                } else {
                    connection.answer(request, 200, "", "sound");
                }
            }));
        }
        gateway.open(servers);
    }

    private static void answerStream(ScriptedServer.Received request, ScriptedServer.Connection connection)
            throws IOException {
        connection.begin(request, 200, CHUNKED);
        writeEvents(connection, 3);
        connection.write("0\r\n\r\n");
    }

    private static void writeEvents(ScriptedServer.Connection connection, int count) throws IOException {
        for (int id = 1; id <= count; id++) {
            connection.write(CHUNK_WITH_EVENT.formatted(id));
        }
    }

    private String call(String target, String headers, String body) throws IOException {
        return gateway.callAttempt("a-" + attempts++, "POST", target, headers, body);
    }

    private String stream(String parts, String body) throws IOException {
        return call("/stream/1", "prompt-tokens: 5000\r\n" + parts, body);
    }

    private interface Call {
        String send() throws IOException;
    }

    /** The response once the request is refused without being sent. */
    private String refusalOf(Call deadly) throws IOException {
        int requests = 0;
        String response = deadly.send();
        while (!response.contains("requestQuarantined")) {
            requests++;
            assertTrue(requests < MAX_REQUESTS, crashes.get() + " servers crashed, last answer: " + response);
            response = deadly.send();
        }
        return response;
    }

    private void assertRefusedForGood(Call deadly) throws IOException {
        String refusal = refusalOf(deadly);
        assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
        assertFalse(refusal.contains("retry-after"), refusal);
        long sentBefore = gateway.attemptsSent();
        for (int later = 0; later < LATER_REQUESTS; later++) {
            assertTrue(deadly.send().contains("requestQuarantined"));
        }
        assertEquals(sentBefore, gateway.attemptsSent());
    }

    @Test
    void anIdempotentRequestThatEndsItsServersBeforeTheHeadIsRefused() throws IOException {
        startServers("plain", (request, connection) -> connection.reset());
        assertRefusedForGood(() -> call("/read/1", "", DEADLY));
        assertTrue(call("/read/1", "", "sound").startsWith("HTTP/1.1 200"));
    }

    @Test
    void anIdempotentRequestWithoutBodyIsIdentifiedByItsQuery() throws IOException {
        startServers("plain", (request, connection) -> connection.close());
        assertRefusedForGood(() -> call("/read/1?q=" + DEADLY, "", ""));
        assertTrue(call("/read/1?q=sound", "", "").startsWith("HTTP/1.1 200"));
    }

    @Test
    void aNonIdempotentRequestThatEndsItsServersIsSentOncePerAttemptAndThenRefused() throws IOException {
        startServers("plain", (request, connection) -> connection.reset());
        String first = call("/order/1", "", DEADLY);
        assertTrue(first.startsWith("HTTP/1.1 502"), first);
        assertEquals(1, crashes.get());
        assertRefusedForGood(() -> call("/order/1", "", DEADLY));
    }

    /** Guards against crashes that don't count because the callers have left before them. */
    @Test
    void aNonIdempotentRequestWhoseCallersLeaveBeforeTheCrashIsRefused() throws IOException {
        startServers("plain", (request, connection) -> {
            callersByAttempt.get(request.header("attempt")).close();
            gateway.awaitNoBusyCaller();
            connection.reset();
        });
        assertRefusedForGood(() -> callUntilClosed("/order/1", DEADLY));
    }

    /** The response, empty if the caller's connection is closed before it. */
    private String callUntilClosed(String target, String body) throws IOException {
        String attempt = "a-" + attempts++;
        try (Socket caller = gateway.connect()) {
            callersByAttempt.put(attempt, caller);
            byte[] request = GatewayHarness.requestOfAttempt(attempt, "POST", target, "connection: close\r\n", body);
            caller.getOutputStream().write(request);
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (SocketException e) {
            return "";
        }
    }

    @Test
    void aRequestThatEndsItsServersWithinTheBodyIsRefused() throws IOException {
        startServers("plain", (request, connection) -> {
            connection.begin(request, 200, "content-length: 20\r\n");
            connection.write("half of it");
            connection.close();
        });
        assertRefusedForGood(() -> call("/read/1", "", DEADLY));
    }

    @Test
    void aStreamThatEndsItsEnginesAfterTheHeadIsRefused() throws IOException {
        startServers("engine", (request, connection) -> {
            connection.begin(request, 200, CHUNKED);
            connection.reset();
        });
        assertRefusedForGood(() -> stream("", DEADLY));
    }

    @Test
    void aStreamThatEndsItsEnginesAfterSeveralEventsIsRefusedAndItsPartsAreServed() throws IOException {
        startServers("engine", (request, connection) -> {
            connection.begin(request, 200, CHUNKED);
            writeEvents(connection, 3);
            connection.close();
        });
        assertRefusedForGood(() -> stream(PARTS, DEADLY));
        assertTrue(stream(PARTS, "sound").endsWith("0\r\n\r\n"));
    }

    /** Guards against a quarantine of parts, with all their prompts, that only one deadly request has. */
    @Test
    void partsThatOnlyTheDeadlyRequestHasAreNotQuarantined() throws IOException {
        startServers("engine", (request, connection) -> connection.reset());
        assertRefusedForGood(() -> stream(PARTS, DEADLY));
        String sound = stream(PARTS, "sound");
        assertTrue(sound.startsWith("HTTP/1.1 200"), sound);
    }

    @Test
    void theSameRequestOfAnotherOrganisationIsServed() throws IOException {
        startServers("plain", (request, connection) -> connection.reset());
        refusalOf(() -> call("/open/1", "", DEADLY));
        String other = gateway.callAs("", "POST", "/open/1", "", DEADLY);
        assertTrue(other.startsWith("HTTP/1.1 200"), other);
    }

    @Test
    void aSoundRequestWhoseConnectionsBrokeTwiceIsServed() throws IOException {
        startServers("plain", request -> crashes.get() < 2, (request, connection) -> connection.reset());
        int requests = 0;
        while (!call("/read/1", "", "sound").startsWith("HTTP/1.1 200")) {
            requests++;
            assertTrue(requests < 3, "not served");
        }
        for (int later = 0; later < LATER_REQUESTS; later++) {
            assertTrue(call("/read/1", "", "sound").startsWith("HTTP/1.1 200"));
        }
    }
}
