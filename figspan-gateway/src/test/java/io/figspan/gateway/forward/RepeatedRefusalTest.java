package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against an earlier refusal of a request that is taken for the answer to a later send of the same request. */
class RepeatedRefusalTest {
    private static final String EVENTS = "id: 1\ndata: a\n\n";

    /** A refusal that names another server as the faulty one, after which the request goes to the same server again. */
    private static final String REFUSAL = "not-run: 1\r\nfaulty-server: 10.0.0.9:80\r\n";

    private final AtomicInteger prompts = new AtomicInteger();

    /** Refuses the first prompt, writes the refusal again when the connection is used again, and serves the rest. */
    private void answer(Received request, ScriptedServer.Connection connection) throws IOException {
        int number = prompts.getAndIncrement();
        if (number == 0) {
            connection.answer(request, 503, REFUSAL, "");
            return;
        }
        if (request.connection() == 1) {
            connection.answer(request, 503, REFUSAL, "");
        }
        connection.answer(request, 200, "", EVENTS);
    }

    @Test
    void aRequestThatGoesToTheSameServerAgainUsesAnotherConnection() throws IOException {
        try (GatewayHarness gateway = new GatewayHarness();
                ScriptedServer engine = new ScriptedServer(this::answer)) {
            gateway.open(Map.of("engine-1", engine));

            String response = gateway.call("POST", "/stream/1", "prompt-tokens: 5000\r\n", "prompt");

            List<Received> received = engine.received();
            assertEquals(2, received.size(), received.toString());
            assertNotEquals(received.get(0).connection(), received.get(1).connection());
            assertTrue(response.contains("data: a"), response);
        }
    }
}
