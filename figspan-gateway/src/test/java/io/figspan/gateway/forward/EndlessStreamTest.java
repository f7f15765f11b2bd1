package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Connection;
import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a server whose stream holds empty lines, or other bytes that are no events, without end: they kept the
 * event loop busy, so that the host answered no caller.
 */
class EndlessStreamTest {
    private static final int TIMEOUT_S = 20;

    /** The filler that a caller gets at most: what is allowed, and what is read before it is counted. */
    private static final int MAX_FORWARDED_BYTES = StreamProgress.MAX_FILLER_BYTES + 64 * 1_024;

    private static final int MAX_SENT_BYTES = 64 * 1_024 * 1_024;

    /** With the framing of the shortest chunks, this has more bytes of data than any limit of a stream. */
    private static final int WRITE_BYTES = 1_024 * 1_024;

    private static final String CHUNKED = "transfer-encoding: chunked\r\n";
    private static final int LAST_EVENT = 4;

    private final CountDownLatch closed = new CountDownLatch(1);
    private final AtomicBoolean isSpoiled = new AtomicBoolean();
    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() {
        gateway.close();
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: piece " + id + "\n\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Sends one event and then filler until the gateway closes the connection; resumes any other stream. */
    private ScriptedServer.Script endless(boolean isChunked, String filler) {
        return (request, c) -> {
            if (!isSpoiled.compareAndSet(false, true)) {
                resume(request, c);
                return;
            }
            c.begin(request, 200, isChunked ? CHUNKED : "");
            String repeated = filler.repeat(1 + WRITE_BYTES / filler.length());
            try {
                // The first write reaches each limit: a server whose thread is paused behind it is unbounded, not
                // silent.
                c.write((isChunked ? chunk(event(1)) : event(1)) + repeated);
                for (int sent = 0; sent < MAX_SENT_BYTES; sent += repeated.length()) {
                    c.write(repeated);
                }
            } catch (IOException e) {
                closed.countDown();
                throw e;
            }
        };
    }

    private static void resume(Received request, Connection c) throws IOException {
        String lastEventId = request.header("last-event-id");
        c.begin(request, 200, CHUNKED);
        int first = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
        for (int id = first; id <= LAST_EVENT; id++) {
            c.write(chunk(event(id)));
        }
        c.write("0\r\n\r\n");
    }

    /** Returns the first bytes of the response, up to its end or to more than any sound caller is sent. */
    private String streamTo(String target) throws IOException {
        try (Socket socket = gateway.connect()) {
            socket.getOutputStream()
                    .write(GatewayHarness.request(
                            "POST", target, "connection: close\r\nprompt-tokens: 5000\r\n", "prompt"));
            InputStream in = socket.getInputStream();
            return new String(in.readNBytes(8 * MAX_FORWARDED_BYTES), StandardCharsets.ISO_8859_1);
        }
    }

    /** The data of a chunked response. */
    private static String unchunked(String response) {
        StringBuilder data = new StringBuilder();
        int from = response.indexOf("\r\n\r\n") + 4;
        while (from < response.length()) {
            int lineEnd = response.indexOf("\r\n", from);
            int length = Integer.parseInt(response.substring(from, lineEnd), 16);
            int dataStart = lineEnd + 2;
            data.append(response, dataStart, dataStart + length);
            from = dataStart + length + 2;
        }
        return data.toString();
    }

    private void assertResumedElsewhere(boolean isChunked, String filler, String attemptEnd) throws Exception {
        gateway.add("engine-1", endless(isChunked, filler));
        gateway.add("engine-2", endless(isChunked, filler));
        gateway.add("plain-1", (request, c) -> c.answer(request, 200, "", "order"));
        gateway.open();

        String response = streamTo("/stream/1");

        assertTrue(closed.await(TIMEOUT_S, TimeUnit.SECONDS), "the connection to the faulty server stayed open");
        assertTrue(response.endsWith("0\r\n\r\n"), "the stream is incomplete");
        String data = unchunked(response);
        assertTrue(data.startsWith(event(1)), "the first event was changed");
        assertTrue(data.endsWith(event(2) + event(3) + event(4)), "the stream was not resumed");
        int fillerBytes = data.length() - LAST_EVENT * event(1).length();
        assertTrue(fillerBytes <= MAX_FORWARDED_BYTES, fillerBytes + " bytes of filler were passed on");
        assertTrue(gateway.call("POST", "/order/1", "", "order").startsWith("HTTP/1.1 200"));
        gateway.awaitAttemptsEnded(attemptEnd, 1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\n\r\n", ": c\n\n", ":\n\n", "id:\n\n", "id: 1\n\n", "x\n\n", "data:\n\n"})
    void aStreamOfFillerIsEndedAndResumedElsewhere(String filler) throws Exception {
        assertResumedElsewhere(false, filler, "unbounded");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r", ": c\n\n"})
    void aStreamOfFillerInTinyChunksIsEndedAndResumedElsewhere(String filler) throws Exception {
        assertResumedElsewhere(true, chunk(filler), "unbounded");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\r", "id:\n", ": c\n", "data: x"})
    void anEventWithoutEndIsEndedAndTheStreamResumedElsewhere(String part) throws Exception {
        assertResumedElsewhere(false, part, "unbounded");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "0;", "x\r\n", "fffffffffff\r\n"})
    void bytesThatAreNoChunkEndTheStreamWhichIsResumedElsewhere(String bytes) throws Exception {
        assertResumedElsewhere(true, bytes, "broken");
    }

    /** What a sound server sends reaches its caller unchanged, comments and empty lines included. */
    @Test
    void theBytesOfASoundStreamWithCommentsAreUnchanged() throws Exception {
        String sent = ": waiting\n\n" + event(1) + "\r\n\n: still\r\n: here\r\n\r\n" + event(2) + ":\n\n" + event(3);
        gateway.add("engine-1", (request, c) -> {
            c.begin(request, 200, CHUNKED);
            c.write(chunk(sent.substring(0, 20)) + chunk(sent.substring(20)) + "0\r\n\r\n");
        });
        gateway.open();

        assertEquals(sent, unchunked(streamTo("/stream/1")));
    }

    /** A stream that may not be resumed ends, and doesn't look complete. */
    @Test
    void aStreamOfFillerThatMayNotBeResumedIsBrokenOff() throws Exception {
        gateway.add("engine-1", endless(false, "\n"));
        gateway.add("plain-1", (request, c) -> c.answer(request, 200, "", "order"));
        gateway.open();

        String response = streamTo("/once/1");

        assertTrue(closed.await(TIMEOUT_S, TimeUnit.SECONDS), "the connection to the faulty server stayed open");
        assertTrue(!response.endsWith("0\r\n\r\n"), "the stream looks complete");
        assertTrue(gateway.call("POST", "/order/1", "", "order").startsWith("HTTP/1.1 200"));
    }
}
