package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Connection;
import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against answers of servers that end within them and reach callers as whole. */
class BrokenAnswerTest {
    private static final String CHUNKED = "transfer-encoding: chunked\r\n";
    private static final String CHUNKS = "6\r\nanswer\r\n5\r\n done\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** An answer that a server begins. */
    private enum Answer {
        WITH_LENGTH("/order/", "content-length: 11\r\n", "answer done"),
        CHUNKED_BODY("/order/", CHUNKED, CHUNKS + LAST_CHUNK),
        CHUNKED_WITH_TRAILERS("/order/", CHUNKED, CHUNKS + "0\r\nchecksum: 1\r\nparts: 2\r\n\r\n"),
        ENDED_BY_CLOSE("/order/", "", "answer done"),
        AFTER_CONTINUE("HTTP/1.1 100 Continue\r\n\r\n", "/order/", "content-length: 11\r\n", "answer done"),
        AFTER_HINTS("HTTP/1.1 103 x\r\nlink: y\r\n\r\n", "/order/", "content-length: 11\r\n", "answer done"),
        CHUNKED_STREAM("/stream/", CHUNKED, chunk(event(1)) + chunk(event(2)) + LAST_CHUNK),
        STREAM_WITH_LENGTH("/stream/", "content-length: 42\r\n", event(1) + event(2)),
        STREAM_ENDED_BY_CLOSE("/stream/", "", event(1) + event(2));

        private final String interim;
        private final String path;
        private final String framing;
        private final String body;

        Answer(String path, String framing, String body) {
            this("", path, framing, body);
        }

        Answer(String interim, String path, String framing, String body) {
            this.interim = interim;
            this.path = path;
            this.framing = framing;
            this.body = body;
        }

        private static String event(int id) {
            return "id: " + id + "\ndata: piece " + id + "\n\n";
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        String head(Received request) {
            return interim + Connection.head(request, 200, framing);
        }

        String whole(Received request) {
            return head(request) + body;
        }

        boolean isStream() {
            return path.equals("/stream/");
        }

        /** Whether the server's close is the end of an answer whose head is complete. */
        boolean isEndedByClose() {
            return framing.isEmpty();
        }
    }

    /** How the server ends the connection. */
    private enum Ending {
        CLOSE,
        RESET
    }

    private GatewayHarness gateway;
    private Answer answer;
    private Ending ending;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() {
        gateway.close();
    }

    /** Sends as many bytes of the answer as the path of the request says. */
    private void begin(Received request, Connection connection) throws IOException {
        int length = Integer.parseInt(request.target().substring(answer.path.length()));
        connection.write(answer.whole(request).substring(0, length));
        if (ending == Ending.RESET) {
            connection.reset();
        } else {
            connection.close();
        }
    }

    /** Registers the server under enough names that one is left that has not failed before. */
    private void open(ScriptedServer server, int count) {
        Map<String, ScriptedServer> servers = new HashMap<>();
        for (int number = 0; number < count; number++) {
            servers.put((answer.isStream() ? "engine-" : "plain-") + number, server);
        }
        gateway.open(servers);
    }

    private String call(int length) throws IOException {
        String prompt = answer.isStream() ? "prompt-tokens: 50\r\n" : "";
        return gateway.call("POST", answer.path + length, prompt, "body");
    }

    private static Received anyRequest() {
        return new Received("POST", "/", Map.of("attempt", "a-1"), List.of(), "", 1);
    }

    private static Stream<Arguments> cases() {
        return Arrays.stream(Answer.values())
                .flatMap(answer -> Arrays.stream(Ending.values()).map(ending -> Arguments.of(answer, ending)));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void anAnswerThatEndsWithinItIsNotWhole(Answer broken, Ending brokenBy) throws IOException {
        answer = broken;
        ending = brokenBy;
        int headLength = answer.head(anyRequest()).length();
        int wholeLength = answer.whole(anyRequest()).length();
        boolean isBodyOpen = answer.isEndedByClose() && ending == Ending.CLOSE;
        int end = isBodyOpen ? headLength : wholeLength;
        try (ScriptedServer server = new ScriptedServer(this::begin)) {
            open(server, 2 * wholeLength + 2);
            for (int length = 0; length < end; length++) {
                int receivedBefore = server.received().size();
                String response = call(length);
                assertNotWhole(response, length, headLength);
                if (!answer.isStream()) {
                    assertEquals(receivedBefore + 1, server.received().size(), "sent again after " + length);
                }
            }
        }
    }

    private void assertNotWhole(String response, int length, int headLength) {
        String context = "after " + length + " bytes: " + response;
        if (answer.isStream() && length > headLength) {
            assertFalse(response.endsWith(LAST_CHUNK), context);
            return;
        }
        assertTrue(response.startsWith("HTTP/1.1 50"), context);
        assertTrue(answer.isStream() || !response.startsWith("HTTP/1.1 503"), context);
    }

    @ParameterizedTest
    @EnumSource
    void aWholeAnswerIsForwarded(Answer whole) throws IOException {
        answer = whole;
        ending = Ending.CLOSE;
        try (ScriptedServer server = new ScriptedServer(this::begin)) {
            open(server, 1);
            String response = call(answer.whole(anyRequest()).length());
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertTrue(response.endsWith(answer.isStream() ? LAST_CHUNK : "answer done"), response);
        }
    }
}
