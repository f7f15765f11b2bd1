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
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against half an answer that callers get as a whole one: its server answers before it has read the request, and
 * is killed within the answer, so that only the write of the request meets the reset.
 */
class TruncatedAnswerTest {
    private static final int REQUEST_BYTES = 4 * 1_024 * 1_024;
    private static final int EVENTS = 10;
    private static final int FIRST_EVENTS = 5;
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String PROMPT = "prompt-tokens: 5000\r\n";
    private static final long LIMIT_S = 20;

    private final AtomicInteger answers = new AtomicInteger();
    private final CompletableFuture<Void> headAtCaller = new CompletableFuture<>();
    private GatewayHarness gateway;
    private ScriptedServer server;
    private String partialEvent = "";

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
        server = ScriptedServer.answeringEarly(this::answer);
        gateway.open(Map.of("plain-1", server, "plain-2", server, "engine-1", server, "engine-2", server));
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        gateway.close();
    }

    private static String events(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(id -> "id: " + id + "\ndata: piece " + id + "\n\n")
                .collect(Collectors.joining());
    }

    /** The first attempt is cut; a later one is whole. */
    private void answer(Received request, Connection connection) throws IOException {
        boolean isFirst = answers.getAndIncrement() == 0;
        String last = request.header("last-event-id");
        int firstEvent = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        connection.begin(request, 200, "connection: close\r\n");
        if (isFirst) {
            connection.write(events(1, FIRST_EVENTS) + partialEvent);
            awaitHalfAtGateway(request);
            connection.reset();
            return;
        }
        connection.write(events(firstEvent, EVENTS));
        connection.shutdownOutput();
        connection.readBody(REQUEST_BYTES);
    }

    /** Until the host has read the part of the answer: a reset would discard what it hasn't. */
    private void awaitHalfAtGateway(Received request) throws IOException {
        try {
            if (request.target().startsWith("/stream/") || request.target().startsWith("/once/")) {
                headAtCaller.get(LIMIT_S, TimeUnit.SECONDS);
            } else {
                gateway.awaitRead();
            }
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new IOException(e);
        }
    }

    /** Sends a long request and returns all that is received until the connection is closed. */
    private String call(String method, String target, String moreHeaders) throws IOException {
        byte[] request = GatewayHarness.request(
                method, target, "connection: close\r\n" + moreHeaders, "x".repeat(REQUEST_BYTES));
        try (Socket socket = gateway.connect()) {
            socket.getOutputStream().write(request);
            return receive(socket.getInputStream());
        }
    }

    private String receive(InputStream in) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] buffer = new byte[1_024];
        for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
            received.write(buffer, 0, read);
            if (received.toString(StandardCharsets.ISO_8859_1).contains("piece " + FIRST_EVENTS)) {
                headAtCaller.complete(null);
            }
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    private List<String> resumedAfter() {
        return server.received().stream()
                .map(request -> request.header("last-event-id"))
                .toList();
    }

    @Test
    void anOrderIsReportedAsUnknownAndNotSentAgain() throws IOException {
        String response = call("POST", "/order/1", "");
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
        assertTrue(response.contains("\"run\":\"unknown\""), response);
        assertEquals(1, answers.get());
        String metrics = gateway.metrics().text();
        assertTrue(metrics.contains("figspan_responses_incomplete_reset_in_answer_total 1"), metrics);
    }

    @Test
    void aReadIsSentToAnotherServer() throws IOException {
        String response = call("POST", "/read/1", "");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertTrue(response.endsWith(events(1, EVENTS)), response);
        assertEquals(2, answers.get());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "id: 6\nda"})
    void aStreamIsResumedAfterItsLastWholeEvent(String cutEvent) throws IOException {
        partialEvent = cutEvent;
        String response = call("POST", "/stream/1", PROMPT);
        assertTrue(response.endsWith(LAST_CHUNK), response);
        assertEquals(List.of("", Integer.toString(FIRST_EVENTS)), resumedAfter());
        for (int id = 1; id <= EVENTS; id++) {
            String event = events(id, id);
            assertEquals(response.indexOf(event), response.lastIndexOf(event), response);
            assertTrue(response.contains(event), response);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "id: 6\nda"})
    void aStreamThatMayNotBeResumedEndsWithoutItsLastChunk(String cutEvent) throws IOException {
        partialEvent = cutEvent;
        String response = call("POST", "/once/1", PROMPT);
        assertTrue(response.contains("piece " + FIRST_EVENTS), response);
        assertFalse(response.endsWith(LAST_CHUNK), response);
        assertEquals(1, answers.get());
    }
}
