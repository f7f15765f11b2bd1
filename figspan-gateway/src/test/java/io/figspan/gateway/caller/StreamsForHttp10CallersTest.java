package io.figspan.gateway.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against streams that reach an HTTP/1.0 caller in chunks, or that were cut and look complete to it. */
class StreamsForHttp10CallersTest {
    private static final String EVENT = "id: 1\ndata: one\n\n";
    private static final String CHUNK = Integer.toHexString(EVENT.length()) + "\r\n" + EVENT + "\r\n";

    private final CountDownLatch eventAtCaller = new CountDownLatch(1);
    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() {
        gateway.close();
    }

    private void serve(ScriptedServer.Script end) throws IOException {
        gateway.add("engine-1", (request, connection) -> {
            connection.begin(request, 200, "transfer-encoding: chunked\r\n");
            connection.write(CHUNK);
            end.answer(request, connection);
        });
        gateway.open();
    }

    private String call() throws IOException {
        String request = new String(
                GatewayHarness.request("POST", "/once/1", "prompt-tokens: 50\r\n", "body"),
                StandardCharsets.ISO_8859_1);
        try (Socket socket = gateway.connect()) {
            socket.getOutputStream()
                    .write(request.replace(" HTTP/1.1\r\n", " HTTP/1.0\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return receive(socket.getInputStream());
        }
    }

    private String receive(InputStream in) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] buffer = new byte[1_024];
        for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
            received.write(buffer, 0, read);
            if (received.toString(StandardCharsets.ISO_8859_1).contains(EVENT)) {
                eventAtCaller.countDown();
            }
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    @Test
    void aWholeStreamEndsWithTheConnection() throws IOException {
        serve((request, connection) -> connection.write("0\r\n\r\n"));
        String response = call();
        assertFalse(response.toLowerCase(Locale.ROOT).contains("transfer-encoding"), response);
        assertTrue(response.endsWith("\r\n\r\n" + EVENT), response);
    }

    @Test
    void aStreamThatIsCutEndsWithAReset() throws IOException {
        serve((request, connection) -> {
            try {
                eventAtCaller.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            connection.close();
        });
        assertThrows(IOException.class, this::call);
        assertEquals(0, eventAtCaller.getCount());
    }
}
