package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Connection;
import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams with missing, repeated or incomplete events, and against truncated streams that look complete.
 */
class StreamingTest {
    private static final Pattern ID = Pattern.compile("id: (\\d+)");

    /** Number of comments whose total duration exceeds the timeout of the route. */
    private static final int MAX_COMMENTS = 400;

    private static final String LAST_CHUNK = "0\r\n\r\n";

    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() {
        gateway.close();
    }

    private static void writeHead(Received request, Connection connection) throws IOException {
        connection.begin(request, 200, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
    }

    private static void writeChunk(Connection connection, String text) throws IOException {
        connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: piece " + id + "\n\n";
    }

    private static List<Integer> ids(String response) {
        List<Integer> ids = new ArrayList<>();
        Matcher matcher = ID.matcher(response);
        while (matcher.find()) {
            ids.add(Integer.parseInt(matcher.group(1)));
        }
        return ids;
    }

    /** Runs {@code beginning} for the first request of a stream; continues it up to event 4 when asked to resume. */
    private static ScriptedServer.Script resumable(ScriptedServer.Script beginning) {
        return (request, c) -> {
            writeHead(request, c);
            String lastEventId = request.header("last-event-id");
            if (lastEventId.isEmpty()) {
                beginning.answer(request, c);
                return;
            }
            for (int id = Integer.parseInt(lastEventId) + 1; id <= 4; id++) {
                writeChunk(c, event(id));
            }
            c.write(LAST_CHUNK);
        };
    }

    private String stream() throws IOException {
        return gateway.call("POST", "/stream/1", "prompt-tokens: 5000\r\n", "prompt");
    }

    @Test
    void eventsAreForwardedInOrderAndTheStreamIsCompleted() throws IOException {
        try (ScriptedServer server = new ScriptedServer((request, c) -> {
            writeHead(request, c);
            writeChunk(c, event(1) + event(2).substring(0, 5));
            writeChunk(c, event(2).substring(5) + event(3));
            c.write(LAST_CHUNK);
        })) {
            gateway.open(Map.of("engine-1", server));
            String response = stream();
            assertEquals(List.of(1, 2, 3), ids(response));
            assertTrue(response.endsWith(LAST_CHUNK));
            assertTrue(response.contains("signature: s"));
        }
    }

    @Test
    void aBrokenStreamIsResumedOnAnotherServerAfterItsLastCompleteEvent() throws IOException {
        ScriptedServer.Script script = resumable((request, c) -> {
            writeChunk(c, event(1) + event(2) + "id: 3\ndata: pie");
            c.reset();
        });
        try (ScriptedServer one = new ScriptedServer(script);
                ScriptedServer two = new ScriptedServer(script)) {
            gateway.open(Map.of("engine-1", one, "engine-2", two));
            String response = stream();
            assertEquals(List.of(1, 2, 3, 4), ids(response));
            assertTrue(response.endsWith(LAST_CHUNK));
            assertEquals(1, one.received().size());
            assertEquals(1, two.received().size());
        }
    }

    /** Guards against begun streams that are broken off, with time left, because several servers are unreachable. */
    @Test
    void aBegunStreamIsResumedAfterMoreUnreachableServersThanARequestMayMeet() throws IOException {
        try (ScriptedServer reachable = new ScriptedServer(resumable((request, c) -> {}));
                ScriptedServer broken = new ScriptedServer(resumable((request, c) -> {
                    writeChunk(c, event(1) + event(2));
                    addUnreachableEngines(5);
                    c.reset();
                    gateway.awaitAttemptsEnded("not_connected", 5);
                    gateway.restart("engine-reachable", reachable);
                }))) {
            gateway.open(Map.of("engine-1", broken));
            String response = stream();
            assertEquals(List.of(1, 2, 3, 4), ids(response));
            assertTrue(response.endsWith(LAST_CHUNK));
        }
    }

    /** Registers engines that refuse connections. */
    private void addUnreachableEngines(int count) throws IOException {
        for (int number = 0; number < count; number++) {
            ScriptedServer server = new ScriptedServer((request, c) -> {});
            server.close();
            gateway.restart("engine-unreachable-" + number, server);
        }
    }

    @Test
    void aStreamThatCannotBeResumedIsAbortedAndNotCompleted() throws IOException {
        ScriptedServer.Script script = (request, c) -> {
            writeHead(request, c);
            writeChunk(c, event(1));
            c.reset();
        };
        try (ScriptedServer one = new ScriptedServer(script);
                ScriptedServer two = new ScriptedServer((request, c) -> c.reset())) {
            gateway.open(Map.of("engine-1", one, "engine-2", two));
            String response = stream();
            assertFalse(response.endsWith(LAST_CHUNK), response);
        }
    }

    @Test
    void aStreamThatEndsWithinAnEventIsNotCompleted() throws IOException {
        ScriptedServer.Script script = (request, c) -> {
            writeHead(request, c);
            writeChunk(c, event(1) + "id: 2\ndata: pi");
            c.write(LAST_CHUNK);
        };
        try (ScriptedServer one = new ScriptedServer(script)) {
            gateway.open(Map.of("engine-1", one));
            assertFalse(stream().endsWith(LAST_CHUNK));
        }
    }

    /** Guards against an engine that ends, whose empty answer looks complete. */
    @Test
    void aStreamWhoseConnectionEndsBeforeItsFirstEventIsSentToAnotherServer() throws IOException {
        AtomicInteger requests = new AtomicInteger();
        ScriptedServer.Script script = (request, c) -> {
            c.begin(request, 200, "content-type: text/event-stream\r\n");
            if (requests.getAndIncrement() > 0) {
                c.write(event(1) + event(2));
            }
            c.close();
        };
        try (ScriptedServer one = new ScriptedServer(script);
                ScriptedServer two = new ScriptedServer(script)) {
            gateway.open(Map.of("engine-1", one, "engine-2", two));
            String response = stream();
            assertEquals(List.of(1, 2), ids(response));
            assertTrue(response.endsWith(LAST_CHUNK));
        }
    }

    @Test
    void aStreamIsAbortedAtItsDeadline() throws IOException {
        try (ScriptedServer server = new ScriptedServer((request, c) -> {
            writeHead(request, c);
            writeChunk(c, event(1));
            c.awaitClose();
        })) {
            gateway.open(Map.of("engine-1", server));
            String response = gateway.call("POST", "/stream/1", "prompt-tokens: 50\r\nwait-ms: 300\r\n", "p");
            assertEquals(List.of(1), ids(response));
            assertFalse(response.endsWith(LAST_CHUNK));
        }
    }

    @Test
    void aStreamOfASilentServerIsResumedOnAnotherServer() throws IOException {
        ScriptedServer.Script script = resumable((request, c) -> {
            writeChunk(c, event(1) + event(2));
            c.awaitClose();
        });
        try (ScriptedServer one = new ScriptedServer(script);
                ScriptedServer two = new ScriptedServer(script)) {
            gateway.open(Map.of("engine-1", one, "engine-2", two));
            String response = stream();
            assertEquals(List.of(1, 2, 3, 4), ids(response));
            assertTrue(response.endsWith(LAST_CHUNK));
        }
    }

    @Test
    void commentsDoNotCountAsProgressOfAStream() throws IOException {
        ScriptedServer.Script script = resumable((request, c) -> {
            writeChunk(c, event(1) + event(2));
            for (int i = 0; i < MAX_COMMENTS; i++) {
                writeChunk(c, ": still here\n\n");
                pauseBriefly();
            }
        });
        try (ScriptedServer one = new ScriptedServer(script);
                ScriptedServer two = new ScriptedServer(script)) {
            gateway.open(Map.of("engine-1", one, "engine-2", two));
            gateway.onLoop(() -> gateway.forwarder().apply(gateway.settings(10_000)));
            String response = stream();
            assertEquals(List.of(1, 2, 3, 4), ids(response));
            assertEquals(
                    2, one.received().size() + two.received().size(), "the stream was not resumed on the other server");
        }
    }

    @Test
    void theGatewayKeepsWaitingForAStreamThatMayNotBeRetried() throws IOException {
        ScriptedServer.Script slow = (request, c) -> {
            writeHead(request, c);
            if (request.header("last-event-id").isEmpty()) {
                writeChunk(c, event(1) + event(2));
                c.awaitClose();
                return;
            }
            writeChunk(c, event(3));
            pause();
            writeChunk(c, event(4));
            c.write(LAST_CHUNK);
        };
        try (ScriptedServer one = new ScriptedServer(slow);
                ScriptedServer two = new ScriptedServer(slow);
                ScriptedServer three = new ScriptedServer(slow)) {
            gateway.open(Map.of("engine-1", one, "engine-2", two, "engine-3", three));
            gateway.onLoop(() -> gateway.forwarder().apply(gateway.settings(10_000)));
            String response = stream();
            assertEquals(List.of(1, 2, 3, 4), ids(response));
            assertTrue(response.endsWith(LAST_CHUNK));
        }
    }

    /** Pauses for longer than an engine may be silent before its work is retried on another one. */
    private static void pause() throws IOException {
        pause(1_200);
    }

    /** Pauses for less time than an engine may be silent. */
    private static void pauseBriefly() throws IOException {
        pause(50);
    }

    private static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
