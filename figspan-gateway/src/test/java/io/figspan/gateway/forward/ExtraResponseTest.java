package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Connection;
import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against bytes after a complete response that are forwarded as the response to a later request. */
class ExtraResponseTest {
    private static final int TIMEOUT_S = 20;

    /** Number of requests in sequence, enough for each of two servers to receive several on one connection. */
    private static final int REQUESTS = 10;

    private static final String EXTRA = "extra";

    private static final String LARGE_BODY = "x".repeat(1_024 * 1_024);

    /** Number of large responses that exceeds by far what the socket buffers of a connection hold. */
    private static final int MAX_LARGE_RESPONSES = 64;

    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() {
        gateway.close();
    }

    /** Writes an extra response to the previous request of the connection before the response to the current one. */
    private static final class LateExtraResponses implements ScriptedServer.Script {
        private final BiFunction<Received, String, String> encoder;
        private final AtomicInteger remaining;
        private final Map<Integer, Received> previousRequests = new ConcurrentHashMap<>();

        /**
         * @param encoder encodes the response to a request with this content
         * @param remaining number of extra responses that are still to be sent
         */
        LateExtraResponses(BiFunction<Received, String, String> encoder, AtomicInteger remaining) {
            this.encoder = encoder;
            this.remaining = remaining;
        }

        @Override
        public void answer(Received request, Connection c) throws IOException {
            Received previous = previousRequests.put(request.connection(), request);
            if (previous != null && remaining.getAndDecrement() > 0) {
                c.write(encoder.apply(previous, EXTRA));
            }
            c.write(encoder.apply(request, contentFor(request.header("attempt"))));
        }
    }

    private static String contentFor(String attemptId) {
        return "response to " + attemptId;
    }

    private static String buffered(Received request, String content) {
        return Connection.response(request, 200, "", content);
    }

    private static String stream(Received request, String content) {
        String event = "id: 1\ndata: " + content + "\n\n";
        return Connection.head(request, 200, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n")
                + Integer.toHexString(event.length()) + "\r\n" + event + "\r\n0\r\n\r\n";
    }

    private static String bodyOf(String response) {
        return response.substring(response.indexOf("\r\n\r\n") + 4);
    }

    private String get(String attemptId) throws IOException {
        return gateway.callAttempt(attemptId, "GET", "/read/1", "", "");
    }

    // Extra bytes on an idle connection. All requests have the same id, so only closing the connection helps.

    @Test
    void aConnectionIsClosedIfExtraBytesArriveTogetherWithTheResponse() throws IOException {
        try (ScriptedServer server =
                new ScriptedServer((request, c) -> c.write(buffered(request, "one") + buffered(request, EXTRA)))) {
            gateway.open(Map.of("s-1", server));
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals("one", bodyOf(get("a-1")));
            }
            assertEachRequestHadItsOwnConnection(server);
        }
    }

    @Test
    void aConnectionIsClosedIfExtraBytesArriveWhileItIsIdle() throws Exception {
        Semaphore closedConnections = new Semaphore(0);
        try (ScriptedServer server = new ScriptedServer((request, c) -> {
            c.write(buffered(request, "one"));
            writeUntilClosed(c, buffered(request, LARGE_BODY));
            closedConnections.release();
        })) {
            gateway.open(Map.of("s-1", server));
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals("one", bodyOf(get("a-1")));
                assertTrue(
                        closedConnections.tryAcquire(TIMEOUT_S, TimeUnit.SECONDS), "the gateway kept the connection");
            }
            assertEachRequestHadItsOwnConnection(server);
        }
    }

    private static void writeUntilClosed(Connection connection, String text) throws IOException {
        for (int i = 0; i < MAX_LARGE_RESPONSES; i++) {
            try {
                connection.write(text);
            } catch (IOException e) {
                return;
            }
        }
        throw new IOException("the gateway read all extra responses");
    }

    private static void assertEachRequestHadItsOwnConnection(ScriptedServer server) {
        assertEquals(REQUESTS, server.received().size());
        assertEquals(
                REQUESTS,
                server.received().stream().map(Received::connection).distinct().count());
    }

    // Extra responses after the next request was sent, told apart by the id of the request

    @Test
    void anIdempotentRequestIsRetriedIfItReceivesTheResponseToAnEarlierRequest() throws IOException {
        AtomicInteger remaining = new AtomicInteger(1);
        try (ScriptedServer one = new ScriptedServer(new LateExtraResponses(ExtraResponseTest::buffered, remaining));
                ScriptedServer two =
                        new ScriptedServer(new LateExtraResponses(ExtraResponseTest::buffered, remaining))) {
            gateway.open(Map.of("s-1", one, "s-2", two));
            for (int i = 0; i < REQUESTS; i++) {
                String id = "a-" + i;
                assertEquals(contentFor(id), bodyOf(get(id)));
            }
            assertTrue(remaining.get() <= 0, "no extra response was sent");
            assertTrue(one.received().size() + two.received().size() > REQUESTS, "no request was retried");
        }
    }

    @Test
    void noExtraResponseIsForwardedIfAllServersSendThem() throws IOException {
        AtomicInteger remaining = new AtomicInteger(Integer.MAX_VALUE);
        try (ScriptedServer one = new ScriptedServer(new LateExtraResponses(ExtraResponseTest::buffered, remaining));
                ScriptedServer two =
                        new ScriptedServer(new LateExtraResponses(ExtraResponseTest::buffered, remaining))) {
            gateway.open(Map.of("s-1", one, "s-2", two));
            for (int i = 0; i < REQUESTS; i++) {
                String id = "a-" + i;
                String response = get(id);
                assertFalse(response.contains(EXTRA), response);
                assertTrue(bodyOf(response).equals(contentFor(id)) || response.startsWith("HTTP/1.1 50"), response);
                assertNotReportedAsNotRunAfterItRan(id, response, one, two);
            }
            assertTrue(remaining.get() < Integer.MAX_VALUE, "no extra response was sent");
        }
    }

    @Test
    void anExtraStreamOfAnEarlierRequestIsNotForwarded() throws IOException {
        AtomicInteger remaining = new AtomicInteger(1);
        try (ScriptedServer one = new ScriptedServer(new LateExtraResponses(ExtraResponseTest::stream, remaining));
                ScriptedServer two = new ScriptedServer(new LateExtraResponses(ExtraResponseTest::stream, remaining))) {
            gateway.open(Map.of("engine-1", one, "engine-2", two));
            for (int i = 0; i < REQUESTS; i++) {
                String id = "a-" + i;
                String response = gateway.callAttempt(id, "POST", "/stream/1", "prompt-tokens: 50\r\n", "prompt");
                assertFalse(response.contains(EXTRA), response);
                assertTrue(response.contains("data: " + contentFor(id) + "\n\n"), response);
            }
            assertTrue(remaining.get() <= 0, "no extra response was sent");
            assertTrue(one.received().size() + two.received().size() > REQUESTS, "no request was retried");
        }
    }

    @Test
    void aNonIdempotentRequestIsNeverSentOnAConnectionThatCarriedAnother() throws IOException {
        AtomicInteger remaining = new AtomicInteger(Integer.MAX_VALUE);
        try (ScriptedServer server =
                new ScriptedServer(new LateExtraResponses(ExtraResponseTest::buffered, remaining))) {
            gateway.open(Map.of("s-1", server));
            assertEquals(contentFor("a-1"), bodyOf(get("a-1")));
            assertEquals(contentFor("a-2"), bodyOf(gateway.callAttempt("a-2", "POST", "/order/1", "", "order")));
            assertEquals(2, server.received().size());
            assertNotEquals(
                    server.received().get(0).connection(),
                    server.received().get(1).connection());
        }
    }

    @Test
    void aNonIdempotentRequestThatReceivesTheResponseToAnotherIsNotRepeated() throws IOException {
        String foreign = "HTTP/1.1 200 x\r\nattempt: a-1\r\nsignature: s\r\ncontent-length: 5\r\n\r\n" + EXTRA;
        ScriptedServer.Script foreignFirst = (request, c) -> c.write(foreign + buffered(request, "own"));
        try (ScriptedServer one = new ScriptedServer(foreignFirst);
                ScriptedServer two = new ScriptedServer(foreignFirst)) {
            gateway.open(Map.of("s-1", one, "s-2", two));
            String response = gateway.callAttempt("a-2", "POST", "/order/1", "", "order");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertFalse(response.contains(EXTRA), response);
            assertEquals(1, one.received().size() + two.received().size());
        }
    }

    // Incomplete extra responses

    @Test
    void anIncompleteExtraHeadIsNotMixedIntoTheNextResponse() throws IOException {
        String incompleteHead = "HTTP/1.1 200 x\r\n" + EXTRA + ": ";
        try (ScriptedServer server =
                new ScriptedServer((request, c) -> c.write(buffered(request, "one") + incompleteHead))) {
            gateway.open(Map.of("s-1", server));
            assertEquals("one", bodyOf(get("a-1")));
            String response = get("a-2");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertEquals("one", bodyOf(response));
            assertFalse(response.contains(EXTRA), response);
        }
    }

    @Test
    void aRequestThatRanIsNotReportedAsNotRunAfterAnIncompleteExtraHead() throws IOException {
        String incompleteHead = "HTTP/1.1 503 x\r\nnot-run: 1\r\n" + EXTRA + ": ";
        ScriptedServer.Script script = (request, c) -> c.write(buffered(request, "one") + incompleteHead);
        try (ScriptedServer one = new ScriptedServer(script);
                ScriptedServer two = new ScriptedServer(script)) {
            gateway.open(Map.of("s-1", one, "s-2", two));
            for (int i = 0; i < REQUESTS; i++) {
                String id = "a-" + i;
                assertNotReportedAsNotRunAfterItRan(id, get(id), one, two);
            }
        }
    }

    private static void assertNotReportedAsNotRunAfterItRan(String id, String response, ScriptedServer... servers) {
        boolean ran = Arrays.stream(servers)
                .flatMap(server -> server.received().stream())
                .anyMatch(received -> received.header("attempt").equals(id));
        assertFalse(ran && response.contains("notRun"), response);
    }
}
