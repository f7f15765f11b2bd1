package io.figspan.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * The planned stop of a host with scripted servers. The signal is dated back, so that the stop is at once in the part
 * of its grace period that a test needs.
 */
abstract class PlannedStopScenario {
    static final long GRACE_MS = 8_000;

    /** Less is left than a request takes for which nothing is known, and more than the last answers take. */
    static final long THIRD_QUARTER_MS = 4_500;

    /** An idle process ends from now on. */
    static final long AFTER_LAST_ARRIVALS_MS = 3_000;

    /** More than the event loop accepts in one pass. */
    static final int WAITING_CONNECTIONS = 100;

    /** Shortly before the last answers are given. */
    static final long BEFORE_LAST_ANSWERS_MS = 7_100;

    static final long TIMEOUT_MS = 15_000;
    static final long LIMIT_S = 20;
    static final int RECENT_REQUESTS = 8;

    /** Together more than the buffers of the connections hold. */
    static final int LARGE_EVENTS = 200;

    static final int LARGE_EVENT_BYTES = 100_000;
    static final Pattern CONTENT_LENGTH = Pattern.compile("content-length: (\\d+)");
    static final String EVENT = "id: 1\ndata: a\n\n";
    static final String OK_HEAD = "HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n";

    final Semaphore received = new Semaphore(0);
    final List<Socket> sockets = new ArrayList<>();
    GatewayHarness gateway;

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

    void open() {
        gateway.open();
        gateway.onLoop(() -> gateway.forwarder().apply(gateway.settings(TIMEOUT_MS)));
    }

    ScriptedServer addServer(String name, ScriptedServer.Script script) throws IOException {
        return gateway.add(name, (request, connection) -> {
            received.release();
            script.answer(request, connection);
        });
    }

    /** A server that never answers. */
    ScriptedServer addEndless(String name) throws IOException {
        return addServer(name, (request, connection) -> connection.awaitClose());
    }

    void awaitReceived() throws InterruptedException {
        assertTrue(received.tryAcquire(LIMIT_S, TimeUnit.SECONDS), "no server has received the request");
    }

    Socket send(String method, String target, String moreHeaders) throws IOException {
        Socket socket = connect();
        write(socket, method, target, moreHeaders);
        return socket;
    }

    Socket connect() throws IOException {
        Socket socket = gateway.connect();
        sockets.add(socket);
        return socket;
    }

    static void write(Socket socket, String method, String target, String moreHeaders) throws IOException {
        socket.getOutputStream().write(GatewayHarness.request(method, target, moreHeaders, "body"));
    }

    /** Everything that is received until the connection is closed. */
    static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** The next response on a connection that is kept. */
    static String readResponse(Socket socket) throws IOException {
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
    Socket connectKept() throws IOException {
        Socket socket = connect();
        write(socket, "GET", "/no-route/1", "");
        assertTrue(readResponse(socket).startsWith("HTTP/1.1 404"));
        return socket;
    }

    static void assertNotRun(String response) {
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertTrue(response.contains("\"run\":\"notRun\""), response);
        assertTrue(response.contains("retry-after: 0."), response);
    }

    static void assertMayHaveRun(String response) {
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
        assertTrue(response.contains("\"run\":\"unknown\""), response);
    }
}
