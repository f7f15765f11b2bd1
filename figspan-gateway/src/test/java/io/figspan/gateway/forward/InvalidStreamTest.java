package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Connection;
import io.figspan.gateway.ScriptedServer.Received;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a stream that turns into bytes that are no response and looks complete (MIXED, ORDER, issue 59). */
class InvalidStreamTest {
    private static final long LIMIT_S = 20;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final CountDownLatch firstEventAtCaller = new CountDownLatch(1);
    private GatewayHarness gateway;
    private ScriptedServer server;
    private String rest;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
        server = new ScriptedServer(this::answer);
        gateway.open(Map.of("engine-1", server, "engine-2", server));
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        gateway.close();
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: piece " + id + "\n\n";
    }

    /** The first attempt turns invalid after its first event; a later one is whole. */
    private void answer(Received request, Connection connection) throws IOException {
        if (request.header("last-event-id").equals("1")) {
            connection.answer(request, 200, "", event(2));
            return;
        }
        String first = event(1);
        connection.begin(request, 200, "transfer-encoding: chunked\r\n");
        connection.write(Integer.toHexString(first.length()) + "\r\n" + first + "\r\n");
        await(firstEventAtCaller);
        connection.write(rest);
        connection.close();
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await(LIMIT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private String call(String target) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try (Socket socket = gateway.connect()) {
            String headers = "connection: close\r\nprompt-tokens: 50\r\n";
            socket.getOutputStream().write(GatewayHarness.request("POST", target, headers, "body"));
            int octet = socket.getInputStream().read();
            while (octet >= 0) {
                received.write(octet);
                if (octet == '\n'
                        && received.toString(StandardCharsets.ISO_8859_1).contains("piece 1")) {
                    firstEventAtCaller.countDown();
                }
                octet = socket.getInputStream().read();
            }
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    private List<String> resumedAfter() {
        return server.received().stream()
                .map(request -> request.header("last-event-id"))
                .toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"5 |piece|0||", "x|", "|", "0 ||", "0\n\n", "0|x y: z||", "0|x : z||", "0|x||"})
    void aStreamThatMayBeResumedIsResumedAfterItsLastEvent(String invalid) throws IOException {
        rest = invalid.replace("|", "\r\n");
        String response = call("/stream/1");
        assertTrue(response.endsWith(LAST_CHUNK), response);
        assertTrue(response.contains(event(2)), response);
        assertEquals(List.of("", "1"), resumedAfter());
    }

    @ParameterizedTest
    @ValueSource(strings = {"5 |piece|0||", "x|", "|", "0 ||", "0\n\n", "0|x y: z||", "0|x : z||", "0|x||"})
    void aStreamThatMayNotBeResumedEndsWithoutItsLastChunk(String invalid) throws IOException {
        rest = invalid.replace("|", "\r\n");
        String response = call("/once/1");
        assertTrue(response.contains(event(1)), response);
        assertFalse(response.endsWith(LAST_CHUNK), response);
        assertEquals(List.of(""), resumedAfter());
    }
}
