package io.figspan.gateway.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.TestProtocol;
import io.figspan.settings.gateway.CallerLimits;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against responses in the wrong order, and against callers that send malformed requests or too much. */
class CallerConnectionTest {
    private GatewayHarness gateway;
    private ScriptedServer server;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
        server = new ScriptedServer(
                (request, connection) -> connection.answer(request, 200, "", request.target() + request.body()));
        gateway.open(Map.of("s-1", server));
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        server.close();
    }

    private String send(String text) throws IOException {
        try (Socket socket = gateway.connect()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static String head(String method, String target, String moreHeaders) {
        return method + " " + target + " HTTP/1.1\r\nhost: a.example\r\nattempt: a-1\r\nkey: " + GatewayHarness.KEY
                + "\r\n" + moreHeaders + "\r\n";
    }

    private static String status(String response) {
        return response.substring(0, response.indexOf("\r\n"));
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        String response = send(head("GET", "/read/1", "")
                + head("GET", "/read/2", "")
                + head("GET", "/read/3", "connection: close\r\n"));

        List<Integer> positions =
                List.of(response.indexOf("/read/1"), response.indexOf("/read/2"), response.indexOf("/read/3"));
        assertTrue(positions.get(0) > 0, response);
        assertEquals(positions.stream().sorted().toList(), positions);
    }

    @Test
    void aChunkedBodyReachesTheServerComplete() throws IOException {
        String response = send(head("POST", "/read/1", "connection: close\r\ntransfer-encoding: chunked\r\n")
                + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");

        assertTrue(response.endsWith("/read/1abcde"), response);
    }

    @Test
    void aBodyThatIsTooLongIsRefusedBeforeItArrives() throws IOException {
        String response = send(head("POST", "/read/1", "content-length: 2000000000\r\n"));

        assertTrue(status(response).contains("413"), response);
        assertEquals(0, server.received().size());
    }

    @Test
    void headersThatAreTooLongAreRefused() throws IOException {
        String response = send(head("GET", "/read/1", "long: " + "x".repeat(200_000) + "\r\n"));

        assertTrue(status(response).contains("431"), response);
        assertEquals(0, server.received().size());
    }

    /** Guards against a reset that takes the response from a caller which is still sending. */
    @Test
    void aCallerThatIsStillSendingAfterARefusalIsNotReset() throws IOException {
        try (Socket socket = gateway.connect()) {
            OutputStream out = socket.getOutputStream();
            out.write(head("POST", "/read/1", "content-length: 2000000000\r\n").getBytes(StandardCharsets.ISO_8859_1));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(status(response).contains("413"), response);

            byte[] rest = new byte[16_384];
            for (int part = 0; part < 200; part++) {
                out.write(rest);
            }
        }
        gateway.awaitNoBusyCaller();
    }

    @Test
    void aMalformedRequestIsRefusedAndTheConnectionIsClosed() throws IOException {
        String response = send("no request at all\r\n\r\n");

        assertTrue(status(response).contains("400"), response);
        assertEquals(0, server.received().size());
    }

    @Test
    void aCallerThatExpectsContinueGetsStatus100() throws IOException {
        try (Socket socket = gateway.connect()) {
            String requestHead =
                    head("POST", "/read/1", "connection: close\r\nexpect: 100-continue\r\ncontent-length: 2\r\n");
            socket.getOutputStream().write(requestHead.getBytes(StandardCharsets.ISO_8859_1));
            byte[] continueLine = socket.getInputStream().readNBytes("HTTP/1.1 100".length());
            socket.getOutputStream().write("ok".getBytes(StandardCharsets.ISO_8859_1));
            String rest = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

            assertEquals("HTTP/1.1 100", new String(continueLine, StandardCharsets.ISO_8859_1));
            assertTrue(rest.endsWith("/read/1ok"), rest);
        }
    }

    @Test
    void aTricklingBodyIsRefusedAndNotRun() throws Exception {
        gateway.onLoop(() -> gateway.callers().setLimits(new CallerLimits(16_384, 4_096, 300, 400)));
        try (Socket socket = gateway.connect()) {
            socket.getOutputStream()
                    .write(head("POST", "/read/1", "content-length: 4000\r\n").getBytes(StandardCharsets.ISO_8859_1));
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (socket.getInputStream().available() == 0 && System.nanoTime() < deadlineNanos) {
                socket.getOutputStream().write('x');
                Thread.sleep(50);
            }
            String response = new String(socket.getInputStream().readNBytes(20), StandardCharsets.ISO_8859_1);

            assertTrue(response.contains("408"), response);
            assertEquals(0, server.received().size());
        }
    }

    @Test
    void theBodiesOfAllCallersTogetherUseBoundedMemory() throws Exception {
        byte[] piece = new byte[3 * 1_024 * 1_024];
        byte[] head = head("POST", "/read/1", "content-length: 4000000\r\n").getBytes(StandardCharsets.ISO_8859_1);
        List<Socket> callers = new ArrayList<>();
        String refused = "";
        while (refused.isEmpty() && callers.size() < 10) {
            Socket socket = gateway.connect();
            callers.add(socket);
            socket.getOutputStream().write(head);
            sendSome(socket, piece);
            refused = readWithin(socket, 300);
        }

        assertTrue(refused.contains(" 503 "), refused);
        assertTrue(refused.toLowerCase(Locale.ROOT).contains("retry-after"), refused);
        assertTrue(gateway.callers().bodies().usedBytes() <= CallerServer.MAX_BODIES_BYTES);
        for (Socket socket : callers) {
            socket.close();
        }
        String later = send(head("POST", "/read/1", "connection: close\r\ncontent-length: 2\r\n") + "ok");
        assertTrue(later.endsWith("/read/1ok"), later);
    }

    @Test
    void theMemoryOfABodyIsReleasedWithItsResponse() throws Exception {
        send(head("POST", "/read/1", "connection: close\r\ncontent-length: 2\r\n") + "ok");
        send(head("POST", "/read/1", "content-length: 2000000000\r\n"));

        gateway.onLoop(() -> assertEquals(0, gateway.callers().bodies().usedBytes()));
    }

    @Test
    void anUnexpectedErrorIsAnsweredAndCountedAndAffectsNoOtherRequest() throws IOException {
        String response = send(head("GET", "/read/1", TestProtocol.FAULT + ": 1\r\n"));
        String other = send(head("GET", "/read/2", "connection: close\r\n"));

        assertTrue(status(response).contains("500"), response);
        assertTrue(other.endsWith("/read/2"), other);
        assertTrue(
                gateway.metrics().text().contains("errors_unexpected_total 1"),
                gateway.metrics().text());
    }

    /** Writes to a connection that may be closed meanwhile because the request was refused. */
    private static void sendSome(Socket socket, byte[] piece) {
        try {
            socket.getOutputStream().write(piece);
        } catch (IOException e) {
            assertTrue(socket.isConnected(), e.toString());
        }
    }

    private static String readWithin(Socket socket, int ms) throws IOException {
        socket.setSoTimeout(ms);
        try {
            return new String(socket.getInputStream().readNBytes(300), StandardCharsets.ISO_8859_1);
        } catch (SocketTimeoutException e) {
            return "";
        }
    }
}
