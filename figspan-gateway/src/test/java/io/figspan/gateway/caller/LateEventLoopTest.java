package io.figspan.gateway.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a time limit that is enforced although what the caller has sent in time is not read yet. */
class LateEventLoopTest {
    /** Longer than each time limit of the connections of callers. */
    private static final long GRACE_MS = 8_000;

    private static final long OVERDUE_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** More than the selector of the JDK reports at once. */
    private static final int MANY_CONNECTIONS = 1_500;

    private static final String HEAD =
            "GET /read/1 HTTP/1.1\r\nhost: a.example\r\nattempt: a-1\r\nkey: " + GatewayHarness.KEY + "\r\n";

    private static final String LAST_REQUEST = HEAD + "connection: close\r\n\r\n";

    private GatewayHarness gateway;
    private ScriptedServer server;
    private Socket caller;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
        server = gateway.add("s-1", (request, connection) -> connection.answer(request, 200, "", "done"));
        gateway.open();
        caller = gateway.connect();
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        gateway.close();
    }

    private void send(String text) throws IOException {
        OutputStream out = caller.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Sends this and waits until the gateway has read it. */
    private void sendRead(String text) throws IOException {
        send(text);
        gateway.awaitRead();
    }

    private String readAll() throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private void tickAfterAllLimits() {
        gateway.callers().tick(System.nanoTime() + OVERDUE_NANOS);
    }

    private void assertAnswered() throws IOException {
        String response = readAll();
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("done"), response);
    }

    @Test
    void aKeptConnectionIsNotClosedAsIdleWithAReceivedRequest() throws IOException {
        sendRead(HEAD + "\r\n");
        byte[] first = caller.getInputStream().readNBytes("HTTP/1.1 200".length());
        assertEquals("HTTP/1.1 200", new String(first, StandardCharsets.ISO_8859_1));
        gateway.awaitNoBusyCaller();

        gateway.onLateLoop(() -> send(LAST_REQUEST), this::tickAfterAllLimits);

        String rest = readAll();
        assertTrue(rest.contains("HTTP/1.1 200") && rest.endsWith("done"), rest);
        assertEquals(2, server.received().size());
    }

    /** Guards against a limit on the connections that the event loop reads at once. */
    @Test
    void noneOfManyKeptConnectionsIsClosedAsIdleWithAReceivedRequest() throws IOException {
        byte[] request = GatewayHarness.request("GET", "/nowhere/1", "", "");
        List<Socket> callers = new ArrayList<>();
        for (int number = 0; number < MANY_CONNECTIONS; number++) {
            Socket kept = gateway.connect();
            callers.add(kept);
            kept.getOutputStream().write(request);
            kept.getInputStream().readNBytes("HTTP/1.1 404".length());
        }
        gateway.awaitNoBusyCaller();
        byte[] last = GatewayHarness.request("GET", "/nowhere/1", "connection: close\r\n", "");

        gateway.onLateLoop(
                () -> {
                    for (Socket kept : callers) {
                        kept.getOutputStream().write(last);
                    }
                },
                this::tickAfterAllLimits);

        int answered = 0;
        for (Socket kept : callers) {
            String rest = new String(kept.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            answered += rest.contains("HTTP/1.1 404") ? 1 : 0;
            kept.close();
        }
        assertEquals(MANY_CONNECTIONS, answered);
    }

    @Test
    void aNewConnectionIsNotClosedAsIdleWithAReceivedRequest() throws IOException {
        gateway.awaitRead();

        gateway.onLateLoop(() -> send(LAST_REQUEST), this::tickAfterAllLimits);

        assertAnswered();
    }

    @Test
    void aRequestIsNotRefusedAsLateWhoseHeadIsReceived() throws IOException {
        sendRead(LAST_REQUEST.substring(0, 40));

        gateway.onLateLoop(() -> send(LAST_REQUEST.substring(40)), this::tickAfterAllLimits);

        assertAnswered();
    }

    @Test
    void aRequestIsNotRefusedAsLateWhoseBodyIsReceived() throws IOException {
        sendRead(HEAD + "connection: close\r\ncontent-length: 4\r\n\r\nab");

        gateway.onLateLoop(() -> send("cd"), this::tickAfterAllLimits);

        assertAnswered();
    }

    @Test
    void aHostThatStopsClosesNoConnectionWithAReceivedRequest() throws IOException {
        gateway.awaitRead();

        gateway.onLateLoop(() -> send(LAST_REQUEST), () -> gateway.beginStop(GRACE_MS, GRACE_MS));

        String response = readAll();
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
    }

    @Test
    void anIdleConnectionIsClosed() throws IOException {
        gateway.awaitRead();

        gateway.onLoop(this::tickAfterAllLimits);

        assertEquals("", readAll());
    }

    @Test
    void aHeadThatIsNotCompleteIsRefused() throws IOException {
        sendRead(HEAD);

        gateway.onLoop(this::tickAfterAllLimits);

        assertTrue(readAll().startsWith("HTTP/1.1 408"));
    }
}
