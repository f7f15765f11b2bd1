package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Connection;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against servers that send without end: their requests fail, and they take neither memory nor a place. */
class EndlessAnswersTest {
    private static final int LIMIT_S = 20;

    /** The time limit of the harness's routes is far longer than reading what is allowed takes. */
    private static final int MAX_MEGABYTES = 64;

    private static final String CHUNKED = "transfer-encoding: chunked\r\n";
    private static final String MEGABYTE = "x".repeat(1_024 * 1_024);

    private final CountDownLatch closed = new CountDownLatch(1);
    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() {
        gateway.close();
    }

    /** Writes until the other side closes, and notes that it did. */
    private void writeOn(Connection connection, String text) throws IOException {
        try {
            for (int sent = 0; sent < MAX_MEGABYTES * MEGABYTE.length(); sent += text.length()) {
                connection.write(text);
            }
        } catch (IOException e) {
            closed.countDown();
            throw e;
        }
    }

    private void assertFailsAndCloses(ScriptedServer.Script script) throws Exception {
        try (ScriptedServer server = new ScriptedServer(script)) {
            gateway.open(Map.of("plain-1", server));
            String response = gateway.call("POST", "/order/1", "", "order");
            assertTrue(response.startsWith("HTTP/1.1 50"), response);
            assertTrue(!response.startsWith("HTTP/1.1 503"), "the order may have run");
            assertTrue(closed.await(LIMIT_S, TimeUnit.SECONDS), "the connection stayed open");
            gateway.onLoop(() -> assertEquals(0, gateway.forwarder().bodies().usedBytes()));
        }
    }

    @Test
    void aBodyWithoutLengthThatNeverEndsFailsItsRequest() throws Exception {
        assertFailsAndCloses((request, c) -> {
            c.begin(request, 200, "");
            writeOn(c, MEGABYTE);
        });
    }

    @Test
    void aBodyOfEndlessChunksFailsItsRequest() throws Exception {
        assertFailsAndCloses((request, c) -> {
            c.begin(request, 200, CHUNKED);
            writeOn(c, Integer.toHexString(MEGABYTE.length()) + "\r\n" + MEGABYTE + "\r\n");
        });
    }

    @Test
    void aHeadOfEndlessInformationalAnswersFailsItsRequest() throws Exception {
        assertFailsAndCloses((request, c) -> writeOn(c, "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_000)));
    }

    @Test
    void emptyLinesWithoutEndBeforeAHeadFailTheRequest() throws Exception {
        assertFailsAndCloses((request, c) -> writeOn(c, "\r\n".repeat(10_000)));
    }

    @Test
    void aHeaderWithoutEndFailsItsRequest() throws Exception {
        assertFailsAndCloses((request, c) -> {
            c.write("HTTP/1.1 200 x\r\nattempt: ");
            writeOn(c, "y".repeat(10_000));
        });
    }

    @Test
    void trailersWithoutEndFailTheRequest() throws Exception {
        assertFailsAndCloses((request, c) -> {
            c.begin(request, 200, CHUNKED);
            c.write("0\r\n");
            writeOn(c, "name: value\r\n".repeat(1_000));
        });
    }

    @Test
    void aChunkExtensionWithoutEndFailsTheRequest() throws Exception {
        assertFailsAndCloses((request, c) -> {
            c.begin(request, 200, CHUNKED);
            c.write("5;ext=");
            writeOn(c, "z".repeat(10_000));
        });
    }
}
