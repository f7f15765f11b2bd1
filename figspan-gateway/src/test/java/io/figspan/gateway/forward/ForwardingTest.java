package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that are altered or run twice, and against responses that are foreign or incomplete. */
class ForwardingTest {
    private static final int TIMEOUT_S = 20;

    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() {
        gateway.close();
    }

    private static int status(String response) {
        return Integer.parseInt(response.split(" ", 3)[1]);
    }

    private static String bodyOf(String response) {
        return response.substring(response.indexOf("\r\n\r\n") + 4);
    }

    // Single response

    @Test
    void aRequestIsForwardedUnchangedWithItsOrganisationAndWithoutItsKey() throws IOException {
        try (ScriptedServer server =
                new ScriptedServer((request, c) -> c.answer(request, 200, "extra: e\r\n", "done"))) {
            gateway.open(Map.of("s-1", server));
            String response = gateway.call("POST", "/order/7?q=%20x", "note: n\r\norganisation: forged\r\n", "body-1");
            assertEquals(200, status(response));
            assertEquals("done", bodyOf(response));
            assertTrue(response.contains("extra: e") && response.contains("signature: s"));
            Received received = server.received().get(0);
            assertEquals("POST", received.method());
            assertEquals("/order/7?q=%20x", received.target());
            assertEquals("body-1", received.body());
            assertEquals("n", received.header("note"));
            assertEquals("a-1", received.header("attempt"));
            assertEquals("house-1", received.header("organisation"));
            assertEquals("s-1", received.header("server"));
            assertEquals("", received.header("key"));
        }
    }

    @Test
    void unknownKeysAndPathsAreRefusedAndPublicRoutesNeedNoKey() throws IOException {
        try (ScriptedServer server = new ScriptedServer((request, c) -> c.answer(request, 200, "", "ok"))) {
            gateway.open(Map.of("s-1", server));
            assertEquals(404, status(gateway.call("GET", "/nowhere/1", "", "")));
            assertEquals(401, status(gateway.callAs("other", "GET", "/read/1", "", "")));
            assertEquals(200, status(gateway.callAs("other", "GET", "/open/1", "", "")));
            assertEquals(1, server.received().size());
        }
    }

    @Test
    void anErrorResponseOfTheServerIsForwarded() throws IOException {
        try (ScriptedServer server = new ScriptedServer((request, c) -> c.answer(request, 500, "", "broken"))) {
            gateway.open(Map.of("s-1", server));
            String response = gateway.call("POST", "/order/1", "", "x");
            assertEquals(500, status(response));
            assertEquals("broken", bodyOf(response));
            assertEquals(1, server.received().size());
        }
    }

    @Test
    void aResponseToAnotherRequestIsNotForwarded() throws IOException {
        String other = "HTTP/1.1 200 x\r\nattempt: a-2\r\nsignature: s\r\ncontent-length: 6\r\n\r\nsecret";
        try (ScriptedServer server = new ScriptedServer((request, c) -> c.write(other))) {
            gateway.open(Map.of("s-1", server));
            String response = gateway.call("POST", "/order/1", "", "x");
            assertEquals(502, status(response));
            assertFalse(response.contains("secret"));
        }
    }

    @Test
    void aSuccessWithoutSignatureIsNotForwarded() throws IOException {
        String unsigned = "HTTP/1.1 200 x\r\nattempt: a-1\r\ncontent-length: 2\r\n\r\nok";
        try (ScriptedServer server = new ScriptedServer((request, c) -> c.write(unsigned))) {
            gateway.open(Map.of("s-1", server));
            assertEquals(502, status(gateway.call("POST", "/order/1", "", "x")));
        }
    }

    @Test
    void aTruncatedResponseIsNeverForwardedAsComplete() throws IOException {
        try (ScriptedServer server = new ScriptedServer((request, c) -> {
            c.write("HTTP/1.1 200 x\r\nattempt: a-1\r\nsignature: s\r\ncontent-length: 100\r\n\r\npart");
            c.reset();
        })) {
            gateway.open(Map.of("s-1", server));
            assertEquals(502, status(gateway.call("POST", "/order/1", "", "x")));
        }
    }

    // Retries

    @Test
    void anIdempotentRequestIsRetriedOnAnotherServerAfterAConnectionReset() throws IOException {
        ScriptedServer.Script resetFirst = new ScriptedServer.Script() {
            private boolean done;

            @Override
            public synchronized void answer(Received request, ScriptedServer.Connection c) throws IOException {
                if (done) {
                    c.answer(request, 200, "", "second");
                } else {
                    done = true;
                    c.reset();
                }
            }
        };
        try (ScriptedServer one = new ScriptedServer(resetFirst);
                ScriptedServer two = new ScriptedServer(resetFirst)) {
            gateway.open(Map.of("s-1", one, "s-2", two));
            assertEquals("second", bodyOf(gateway.call("GET", "/read/1", "", "")));
            assertEquals(2, one.received().size() + two.received().size());
        }
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorReportedAsNotRun() throws IOException {
        try (ScriptedServer one = new ScriptedServer((request, c) -> c.reset());
                ScriptedServer two = new ScriptedServer((request, c) -> c.reset())) {
            gateway.open(Map.of("s-1", one, "s-2", two));
            assertEquals(502, status(gateway.call("POST", "/order/1", "", "x")));
            assertEquals(1, one.received().size() + two.received().size());
        }
    }

    @Test
    void aRequestThatTwoServersDidNotRunIsRefusedWithRetryAfter() throws IOException {
        ScriptedServer.Script full = (request, c) -> c.answer(request, 503, "not-run: 1\r\n", "");
        try (ScriptedServer one = new ScriptedServer(full);
                ScriptedServer two = new ScriptedServer(full)) {
            gateway.open(Map.of("s-1", one, "s-2", two));
            String response = gateway.call("POST", "/order/1", "", "x");
            assertEquals(503, status(response));
            assertTrue(response.contains("retry-after: 0."), response);
            assertTrue(response.contains("\"run\":\"notRun\""));
            assertFalse(response.contains("signature"));
            assertEquals(2, one.received().size() + two.received().size());
        }
    }

    @Test
    void aRequestToAnUnreachableServerIsRetriedOnAnotherServer() throws IOException {
        ScriptedServer unreachable = new ScriptedServer((request, c) -> c.close());
        unreachable.close();
        try (ScriptedServer two = new ScriptedServer((request, c) -> c.answer(request, 200, "", "ok"))) {
            gateway.open(Map.of("s-1", unreachable, "s-2", two));
            for (int i = 0; i < 4; i++) {
                assertEquals(200, status(gateway.call("POST", "/order/" + i, "", "x")));
            }
            assertEquals(4, two.received().size());
        }
    }

    // Deadlines and disconnects

    @Test
    void aRequestWithoutResponseTimesOutAndItsServerConnectionIsClosed() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((request, c) -> {
            c.awaitClose();
            closed.countDown();
        })) {
            gateway.open(Map.of("s-1", server));
            assertEquals(504, status(gateway.call("GET", "/read/1", "wait-ms: 200\r\n", "")));
            assertTrue(closed.await(TIMEOUT_S, TimeUnit.SECONDS));
            int waitMs = Integer.parseInt(server.received().get(0).header("wait-ms"));
            assertTrue(waitMs <= 200, "the server must receive the remaining time, but received " + waitMs);
        }
    }

    @Test
    void theRouteTimeoutAppliesWhenTheCallerWouldWaitLonger() throws IOException {
        try (ScriptedServer server = new ScriptedServer((request, c) -> c.awaitClose())) {
            gateway.open(Map.of("s-1", server));
            gateway.onLoop(() -> gateway.forwarder().apply(gateway.settings(150)));
            assertEquals(504, status(gateway.call("POST", "/order/1", "wait-ms: 100000\r\n", "x")));
        }
    }

    @Test
    void anIdempotentRequestIsCancelledWhenItsCallerDisconnects() throws Exception {
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        try (ScriptedServer server = new ScriptedServer((request, c) -> {
            events.add("received");
            c.awaitClose();
            events.add("closed");
        })) {
            gateway.open(Map.of("s-1", server));
            try (Socket caller = gateway.connect()) {
                caller.getOutputStream().write(GatewayHarness.request("GET", "/read/1", "", ""));
                assertEquals("received", events.poll(TIMEOUT_S, TimeUnit.SECONDS));
            }
            assertEquals("closed", events.poll(TIMEOUT_S, TimeUnit.SECONDS));
        }
    }

    // Startup

    @Test
    void aRequestThatArrivesBeforeTheSettingsIsQueued() throws IOException {
        try (ScriptedServer server = new ScriptedServer((request, c) -> c.answer(request, 200, "", "ok"));
                Socket caller = gateway.connect()) {
            caller.getOutputStream().write(GatewayHarness.request("GET", "/read/1", "connection: close\r\n", ""));
            gateway.open(Map.of("s-1", server));
            String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertEquals(200, status(response));
        }
    }

    @Test
    void aRequestThatIsQueuedForTooLongIsRefusedAsNotRun() throws IOException {
        try (Socket caller = gateway.connect()) {
            caller.getOutputStream().write(GatewayHarness.request("GET", "/read/1", "connection: close\r\n", ""));
            gateway.onLoop(() -> {});
            StringBuilder response = new StringBuilder();
            Thread ticks = new Thread(() -> {
                long laterNanos = System.nanoTime() + 2 * StartupQueue.MAX_WAIT_NANOS;
                while (response.length() == 0) {
                    gateway.onLoop(() -> gateway.forwarder().tick(laterNanos));
                }
            });
            ticks.start();
            response.append(new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1));
            assertEquals(503, status(response.toString()));
            assertTrue(response.toString().contains("\"run\":\"notRun\""));
        }
    }
}
