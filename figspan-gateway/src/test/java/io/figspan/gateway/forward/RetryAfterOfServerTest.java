package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests to a server that has rejected one and said for how long it accepts none. */
class RetryAfterOfServerTest {
    /** Enough that a server that is still used gets one of them for certain. */
    private static final int REQUESTS = 40;

    private static final String EVENTS = "id: 1\ndata: a\n\n";

    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
    }

    private ScriptedServer add(String name, int status, String moreHeaders) throws IOException {
        return gateway.add(
                name,
                (request, connection) -> connection.answer(request, status, moreHeaders, status == 200 ? EVENTS : ""));
    }

    private List<Received> receivedOf(ScriptedServer server) throws IOException {
        gateway.open();
        for (int number = 0; number < REQUESTS; number++) {
            gateway.call("GET", "/read/" + number, "", "");
            gateway.call("POST", "/stream/" + number, "prompt-tokens: 5000\r\n", "prompt");
        }
        return server.received();
    }

    @Test
    void aPlainServerThatNamesATimeGetsNothingUntilItsEnd() throws IOException {
        ScriptedServer rejecting = add("plain-1", 503, "retry-after: 600\r\n");
        add("plain-2", 200, "");

        assertEquals(1, receivedOf(rejecting).size());
    }

    @Test
    void anEngineThatNamesATimeGetsNothingUntilItsEnd() throws IOException {
        ScriptedServer rejecting = add("engine-1", 503, "retry-after: 600\r\n");
        add("engine-2", 200, "");

        assertEquals(1, receivedOf(rejecting).size());
    }

    @Test
    void aVeryLongTimeIsKept() throws IOException {
        ScriptedServer rejecting = add("plain-1", 503, "retry-after: 99999999999999999999\r\n");
        add("plain-2", 200, "");

        assertEquals(1, receivedOf(rejecting).size());
    }

    @Test
    void aTimeOfZeroAndOneThatCannotBeReadKeepNothingBack() throws IOException {
        ScriptedServer zero = add("plain-1", 503, "retry-after: 0\r\n");
        ScriptedServer unreadable = add("plain-2", 503, "retry-after: soon\r\n");

        receivedOf(zero);

        assertTrue(zero.received().size() > 1, zero.received().toString());
        assertTrue(unreadable.received().size() > 1, unreadable.received().toString());
    }

    /** Guards against requests that wait although it is known that no server accepts them in time. */
    @Test
    void aRequestIsRejectedAtOnceWhenAllServersNameATimeBeyondItsDeadline() throws IOException {
        add("plain-1", 503, "retry-after: 600\r\n");
        gateway.open();
        gateway.call("GET", "/read/1", "", "");

        String response = gateway.call("GET", "/read/2", "", "");

        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertTrue(response.contains("no backend server accepts requests before the deadline"), response);
    }
}
