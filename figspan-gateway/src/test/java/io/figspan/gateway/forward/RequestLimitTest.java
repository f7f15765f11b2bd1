package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a server that gets far more requests than the limit that it has named. */
class RequestLimitTest {
    private static final int REQUESTS = 40;

    /** Allowed beyond the rate, which admits less than one request while the test runs. */
    private static final int MAX_REQUESTS = 5;

    private static final String LIMIT = "limit: 0.01\r\n";

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
    void aPlainServerGetsNoMoreThanItsLimitAndTheOtherOneTheRest() throws IOException {
        try (ScriptedServer limited = server(LIMIT);
                ScriptedServer other = server("")) {
            gateway.open(Map.of("plain-1", limited, "plain-2", other));

            sendAll("/read/1", "");

            assertTrue(
                    limited.received().size() <= MAX_REQUESTS,
                    limited.received().size() + " requests");
        }
    }

    @Test
    void anEngineGetsNoMoreThanItsLimitAndTheOtherOneTheRest() throws IOException {
        try (ScriptedServer limited = server(LIMIT);
                ScriptedServer other = server("")) {
            gateway.open(Map.of("engine-1", limited, "engine-2", other));

            sendAll("/stream/1", "prompt-tokens: 5000\r\n");

            assertTrue(
                    limited.received().size() <= MAX_REQUESTS,
                    limited.received().size() + " requests");
        }
    }
}
