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

/**
 * Guards against servers that send without end: the request must fail, its memory be freed and the connection closed.
 */
class UnboundedResponseTest {
    private static final int TIMEOUT_S = 20;

    /** Amount to send. Reading what is allowed takes far less time than the route timeout of the harness. */
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

    /** Writes repeatedly until the gateway closes the connection, and records that it did. */
    private void writeRepeatedly(Connection connection, String text) throws IOException {
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
            assertTrue(closed.await(TIMEOUT_S, TimeUnit.SECONDS), "the connection stayed open");
            gateway.onLoop(() ->
                    assertEquals(0, gateway.forwarder().responseBodyBudget().usedBytes()));
        }
    }

    @Test
    void anEndlessBodyWithoutLengthFailsTheRequest() throws Exception {
        assertFailsAndCloses((request, c) -> {
            c.begin(request, 200, "");
            writeRepeatedly(c, MEGABYTE);
        });
    }

    @Test
    void anEndlessChunkedBodyFailsTheRequest() throws Exception {
        assertFailsAndCloses((request, c) -> {
            c.begin(request, 200, CHUNKED);
            writeRepeatedly(c, Integer.toHexString(MEGABYTE.length()) + "\r\n" + MEGABYTE + "\r\n");
        });
    }

    @Test
    void endlessInformationalResponsesFailTheRequest() throws Exception {
        assertFailsAndCloses((request, c) -> writeRepeatedly(c, "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_000)));
    }

    @Test
    void endlessEmptyLinesBeforeTheHeadFailTheRequest() throws Exception {
        assertFailsAndCloses((request, c) -> writeRepeatedly(c, "\r\n".repeat(10_000)));
    }

    @Test
    void anEndlessHeaderFailsTheRequest() throws Exception {
        assertFailsAndCloses((request, c) -> {
            c.write("HTTP/1.1 200 x\r\nattempt: ");
            writeRepeatedly(c, "y".repeat(10_000));
        });
    }

    @Test
    void endlessTrailersFailTheRequest() throws Exception {
        assertFailsAndCloses((request, c) -> {
            c.begin(request, 200, CHUNKED);
            c.write("0\r\n");
            writeRepeatedly(c, "name: value\r\n".repeat(1_000));
        });
    }

    @Test
    void anEndlessChunkExtensionFailsTheRequest() throws Exception {
        assertFailsAndCloses((request, c) -> {
            c.begin(request, 200, CHUNKED);
            c.write("5;ext=");
            writeRepeatedly(c, "z".repeat(10_000));
        });
    }
}
