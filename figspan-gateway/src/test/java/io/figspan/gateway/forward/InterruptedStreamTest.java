package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against errors of a second engine within a stream that a first one has begun. */
class InterruptedStreamTest {
    private static final String ERROR_TEXT = "the-text-of-an-error";

    private final AtomicInteger prompts = new AtomicInteger();
    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
    }

    /** Whichever engine gets the prompt first breaks its stream off; the other one sends this response. */
    private String streamContinuedWith(String headAndBody) throws IOException {
        ScriptedServer.Script script = (request, connection) -> {
            if (prompts.getAndIncrement() == 0) {
                connection.begin(request, 200, "transfer-encoding: chunked\r\n");
                connection.write("11\r\nid: 1\ndata: one\n\n\r\n");
                connection.reset();
                return;
            }
            connection.write(headAndBody.replace("ATTEMPT", request.header("attempt")));
            connection.close();
        };
        gateway.add("engine-1", script);
        gateway.add("engine-2", script);
        gateway.open();
        return gateway.call("POST", "/stream/1", "prompt-tokens: 5000\r\n", "prompt");
    }

    private static String error(String status) {
        return "HTTP/1.1 " + status + " x\r\nattempt: ATTEMPT\r\nsignature: s\r\ncontent-length: " + ERROR_TEXT.length()
                + "\r\n\r\n" + ERROR_TEXT;
    }

    private static void assertBrokenOff(String response) {
        assertTrue(response.contains("data: one"), response);
        assertFalse(response.contains(ERROR_TEXT), response);
        assertEquals(response.indexOf("HTTP/1.1"), response.lastIndexOf("HTTP/1.1"), response);
        assertFalse(response.endsWith("0\r\n\r\n"), response);
    }

    @ParameterizedTest
    @ValueSource(strings = {"500", "400", "404", "429", "503", "504", "302"})
    void aStreamIsNeitherContinuedNorCompletedWithAnError(String status) throws IOException {
        assertBrokenOff(streamContinuedWith(error(status)));
        assertEquals(2, prompts.get());
    }

    @Test
    void aStreamIsNotContinuedWithASuccessThatIsNoStream() throws IOException {
        assertBrokenOff(streamContinuedWith(error("200")));
    }

    @Test
    void aStreamIsNotContinuedWithTheAnswerToAnotherRequest() throws IOException {
        assertBrokenOff(streamContinuedWith(error("200").replace("ATTEMPT", "a-2")));
    }
}
