package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a cold server that gets more than it tolerates, and against a limit that nobody asked for. */
class ColdServerTest {
    private static final int REQUESTS = 40;

    /** One that the server gets before it says that it is cold, and the burst of a host after a pause. */
    private static final int MAX_REQUESTS = 4;

    /** Admits less than one request while the test runs. */
    private static final double REQUESTS_PER_SECOND = 0.01;

    private static final String COLD = "cold-ms: 30000\r\n";

    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() {
        gateway.close();
    }

    private static ScriptedServer server(String moreHeaders) throws IOException {
        return new ScriptedServer((request, connection) ->
                connection.answer(request, 200, moreHeaders, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    }

    private void sendAll(String target, String moreHeaders) throws IOException {
        for (int request = 0; request < REQUESTS; request++) {
            String response = gateway.call("POST", target, moreHeaders, "body");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
        }
    }

    @Test
    void aColdPlainServerIsSparedAndTheOtherOneGetsTheRest() throws IOException {
        gateway.limitColdServers(REQUESTS_PER_SECOND);
        try (ScriptedServer cold = server(COLD);
                ScriptedServer other = server("")) {
            gateway.open(Map.of("plain-1", cold, "plain-2", other));

            sendAll("/read/1", "");

            assertTrue(cold.received().size() <= MAX_REQUESTS, cold.received().size() + " requests");
        }
    }

    @Test
    void aColdEngineIsSparedAndTheOtherOneGetsTheRest() throws IOException {
        gateway.limitColdServers(REQUESTS_PER_SECOND);
        try (ScriptedServer cold = server(COLD);
                ScriptedServer other = server("")) {
            gateway.open(Map.of("engine-1", cold, "engine-2", other));

            sendAll("/stream/1", "prompt-tokens: 5000\r\n");

            assertTrue(cold.received().size() <= MAX_REQUESTS, cold.received().size() + " requests");
        }
    }

    @Test
    void aColdServerGetsItsRequestsWhereTheSettingsNameNoRate() throws IOException {
        try (ScriptedServer cold = server(COLD);
                ScriptedServer other = server("")) {
            gateway.open(Map.of("plain-1", cold, "plain-2", other));

            sendAll("/read/1", "");

            assertTrue(cold.received().size() > MAX_REQUESTS, cold.received().size() + " requests");
        }
    }
}
