package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes of a server that are no HTTP response and reach callers as an answer (MIXED, issue 59). */
class InvalidAnswerTest {
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** Fields of the broken answer that would change what the host does if it believed them. */
    private static final String CLAIMS = "not-run: 1|retry-after: 600|leaving: 1|limit: 0.001";

    /** Status lines that are none; the line breaks of all texts here are written as a bar. */
    private static final String[] STATUS_LINES = {
        "HTTP/1.1 000 OK",
        "HTTP/1.1 001 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 -200 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1 200 O\u0001K",
        "HTTP/1.1 101 OK",
        "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/1.10 200 OK",
        "HTTP/11 200 OK",
        "http/1.1 200 OK",
        "HTTQ/1.1 200 OK",
        " HTTP/1.1 200 OK",
        "\u0000HTTP/1.1 200 OK",
        "|HTTP/1.1 200 OK",
    };

    /** Lines in a head that are no field. */
    private static final String[] FIELD_LINES = {
        "x y: z",
        "x-a : z",
        "x-a\t: z",
        "x\ta: z",
        " x-a: z",
        "\tx-a: z",
        ": z",
        "x-a",
        "x\u0000a: z",
        "x\u0001a: z",
        "x\u007fa: z",
        "x\u00e9a: z",
        "x(a: z",
        "x\"a: z",
        "x-a: y\u0000z",
        "x-a: y\u0001z",
        "x-a: y\rz",
        "x-a: y\u007fz",
        "x-a:\u000bz",
        "x-a: z\ny-a: z",
        "content-length : 3",
        "content-length\t: 3",
        "content-length 3: 3",
        "content length: 3",
        "transfer-encoding : chunked",
        "transfer-encoding x: chunked",
    };

    /** Fields that leave the end of the body open to more than one reading, or codings that nothing decodes. */
    private static final String[] FRAMINGS = {
        "content-length: $LENGTH|content-length: 3",
        "content-length: $LENGTH, 3",
        "content-length: +$LENGTH",
        "content-length: -1",
        "content-length: 0x10",
        "content-length:",
        "content-length: $LENGTH,",
        "content-length: $LENGTH $LENGTH",
        "content-length: 99999999999999999999",
        "transfer-encoding: gzip",
        "transfer-encoding: gzip|content-length: $LENGTH",
        "transfer-encoding: identity|content-length: $LENGTH",
        "transfer-encoding:|content-length: $LENGTH",
        "transfer-encoding: chunked|content-length: $LENGTH",
    };

    /** Codings of a body in chunks of which not all are chunked, once. */
    private static final String[] CHUNKED_FRAMINGS = {
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: gzip|transfer-encoding: chunked",
        "transfer-encoding: chunked, gzip",
        "transfer-encoding: chunked, chunked",
        "transfer-encoding: chunked|transfer-encoding: chunked",
        "transfer-encoding: identity, chunked",
        "transfer-encoding: x-chunked",
        "transfer-encoding: \"chunked\"",
        "transfer-encoding: chunked;q=1",
        "transfer-encoding: chunked,",
    };

    /** Bodies that are no chunks. */
    private static final String[] CHUNKS = {
        "$HEX |$BODY|0||",
        " $HEX|$BODY|0||",
        "$HEX\t|$BODY|0||",
        "0x$HEX|$BODY|0||",
        "+$HEX|$BODY|0||",
        "|$BODY|0||",
        "$HEX x|$BODY|0||",
        "$HEX,x|$BODY|0||",
        "$HEX;|$BODY|0||",
        "$HEX;=x|$BODY|0||",
        "$HEX;x=|$BODY|0||",
        "$HEX;x=\"y|$BODY|0||",
        "$HEX;x=\u0001|$BODY|0||",
        "$HEX\n$BODY|0||",
        "$HEX\r$BODY|0||",
        "$HEX|$BODYxy|0||",
        "$HEX|$BODY\n0||",
        "$HEX|$BODY|0 ||",
        "$HEX|$BODY|-0||",
        "$HEX|$BODY|||",
        "$HEX|$BODY|10000000000000000||",
        "$HEX|$BODY|0|x y: z||",
        "$HEX|$BODY|0|x : z||",
        "$HEX|$BODY|0| x: z||",
        "$HEX|$BODY|0|x||",
        "$HEX|$BODY|0|: z||",
        "$HEX|$BODY|0|x: y\u0000z||",
        "$HEX|$BODY|0|x: z\n\n",
    };

    private final AtomicInteger answers = new AtomicInteger();
    private GatewayHarness gateway;
    private ScriptedServer server;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        gateway.close();
    }

    /** How a route is called, and what its whole answer is. */
    private enum Kind {
        ORDER("/order/", "answer done"),
        READ("/read/", "answer done"),
        STREAM("/stream/", event(1) + event(2)),
        STREAM_ONCE("/once/", event(1) + event(2));

        private final String path;
        private final String body;

        Kind(String path, String body) {
            this.path = path;
            this.body = body;
        }

        private static String event(int id) {
            return "id: " + id + "\ndata: piece " + id + "\n\n";
        }

        boolean isStream() {
            return this == STREAM || this == STREAM_ONCE;
        }

        boolean mayRepeat() {
            return this == READ || this == STREAM;
        }
    }

    /** Opens the gateway before two servers; the first answer of both together is broken, the later ones are whole. */
    private void open(String brokenAnswer) throws IOException {
        server = new ScriptedServer((request, connection) -> {
            if (answers.getAndIncrement() == 0) {
                connection.write(expand(brokenAnswer, request));
                connection.close();
            } else {
                connection.answer(request, 200, "", kindOf(request).body);
            }
        });
        gateway.open(Map.of("plain-1", server, "plain-2", server, "engine-1", server, "engine-2", server));
    }

    private static Kind kindOf(Received request) {
        return Arrays.stream(Kind.values())
                .filter(kind -> request.target().startsWith(kind.path))
                .findFirst()
                .orElseThrow();
    }

    private static String expand(String answer, Received request) {
        String body = kindOf(request).body;
        return answer.replace("|", "\r\n")
                .replace("$FIELDS", "attempt: " + request.header("attempt") + "\r\nsignature: s")
                .replace("$LENGTH", Integer.toString(body.length()))
                .replace("$HEX", Integer.toHexString(body.length()))
                .replace("$BODY", body);
    }

    private String call(Kind kind) throws IOException {
        return gateway.call("POST", kind.path + "1", kind.isStream() ? "prompt-tokens: 50\r\n" : "", "body");
    }

    private void assertNoAnswer(Kind kind) throws IOException {
        String response = call(kind);
        if (kind.mayRepeat()) {
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
            assertTrue(response.endsWith(kind.isStream() ? LAST_CHUNK : kind.body), response);
            assertEquals(2, answers.get());
        } else {
            assertTrue(response.startsWith("HTTP/1.1 502 "), response);
            assertTrue(response.contains("\"run\":\"unknown\""), response);
            assertFalse(response.contains("signature"), response);
            assertEquals(1, answers.get());
        }
    }

    private static Stream<Arguments> ofEachKind(String... texts) {
        return Arrays.stream(Kind.values()).flatMap(kind -> Arrays.stream(texts).map(text -> Arguments.of(kind, text)));
    }

    private static Stream<Arguments> statusLines() {
        return ofEachKind(STATUS_LINES);
    }

    @ParameterizedTest
    @MethodSource("statusLines")
    void anAnswerWithoutAValidStatusLineIsNoAnswer(Kind kind, String statusLine) throws IOException {
        open(statusLine + "|$FIELDS|content-length: $LENGTH||$BODY");
        assertNoAnswer(kind);
    }

    private static Stream<Arguments> interimStatusLines() {
        return ofEachKind("HTTP/1.1 099 x", "HTTP/1.1 101 x", "HTTP/2 100 x");
    }

    @ParameterizedTest
    @MethodSource("interimStatusLines")
    void anAnswerAfterAnInvalidInterimOneIsNoAnswer(Kind kind, String statusLine) throws IOException {
        open(statusLine + "||HTTP/1.1 200 OK|$FIELDS|content-length: $LENGTH||$BODY");
        assertNoAnswer(kind);
    }

    private static Stream<Arguments> fieldLines() {
        return ofEachKind(FIELD_LINES);
    }

    @ParameterizedTest
    @MethodSource("fieldLines")
    void anAnswerWithALineThatIsNoFieldIsNoAnswer(Kind kind, String line) throws IOException {
        open("HTTP/1.1 200 OK|$FIELDS|" + line + "|content-length: $LENGTH||$BODY");
        assertNoAnswer(kind);
    }

    /** The line would otherwise be passed over, and the body would end with its connection. */
    @ParameterizedTest
    @MethodSource("fieldLines")
    void anAnswerWithALineThatIsNoFieldAndWithoutLengthIsNoAnswer(Kind kind, String line) throws IOException {
        open("HTTP/1.1 200 OK|$FIELDS|" + line + "||$BODY");
        assertNoAnswer(kind);
    }

    @ParameterizedTest
    @MethodSource("fieldLines")
    void anAnswerAfterAnInterimOneWithALineThatIsNoFieldIsNoAnswer(Kind kind, String line) throws IOException {
        open("HTTP/1.1 103 x|" + line + "||HTTP/1.1 200 OK|$FIELDS|content-length: $LENGTH||$BODY");
        assertNoAnswer(kind);
    }

    private static Stream<Arguments> framings() {
        return ofEachKind(FRAMINGS);
    }

    @ParameterizedTest
    @MethodSource("framings")
    void anAnswerWhoseEndHasNoSingleReadingIsNoAnswer(Kind kind, String framing) throws IOException {
        open("HTTP/1.1 200 OK|$FIELDS|" + framing + "||$BODY");
        assertNoAnswer(kind);
    }

    private static Stream<Arguments> chunkedFramings() {
        return ofEachKind(CHUNKED_FRAMINGS);
    }

    @ParameterizedTest
    @MethodSource("chunkedFramings")
    void anAnswerInACodingThatNothingDecodesIsNoAnswer(Kind kind, String framing) throws IOException {
        open("HTTP/1.1 200 OK|$FIELDS|" + framing + "||$HEX|$BODY|0||");
        assertNoAnswer(kind);
    }

    @ParameterizedTest
    @EnumSource
    void anAnswerOfHttp10InChunksIsNoAnswer(Kind kind) throws IOException {
        open("HTTP/1.0 200 OK|$FIELDS|transfer-encoding: chunked||$HEX|$BODY|0||");
        assertNoAnswer(kind);
    }

    private static Stream<Arguments> chunks() {
        return ofEachKind(CHUNKS);
    }

    @ParameterizedTest
    @MethodSource("chunks")
    void anAnswerWithoutValidChunksIsNoAnswer(Kind kind, String chunks) throws IOException {
        open("HTTP/1.1 200 OK|$FIELDS|transfer-encoding: chunked||" + chunks);
        assertNoAnswer(kind);
    }

    /** A promise that the request has not run, a drain notice, a limit, a pause: none of it holds. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600"})
    void noFieldOfABrokenAnswerIsBelieved(String status) throws IOException {
        open("HTTP/1.1 " + status + " OK|$FIELDS|" + CLAIMS + "|content-length: $LENGTH||$BODY");
        String first = call(Kind.ORDER);
        assertTrue(first.startsWith("HTTP/1.1 502 "), first);
        for (int number = 0; number < 10; number++) {
            String next = call(Kind.ORDER);
            assertTrue(next.startsWith("HTTP/1.1 200 "), next);
        }
        assertEquals(11, answers.get());
    }

    /** The head is valid, and comes in a read of its own. */
    @Test
    void noFieldOfAnAnswerWhoseBodyIsInvalidIsBelieved() throws IOException {
        server = new ScriptedServer((request, connection) -> {
            if (answers.getAndIncrement() > 0) {
                connection.answer(request, 200, "", Kind.ORDER.body);
                return;
            }
            connection.write(expand("HTTP/1.1 200 OK|$FIELDS|" + CLAIMS + "|transfer-encoding: chunked||", request));
            gateway.awaitRead();
            connection.write("5 \r\nhello\r\n0\r\n\r\n");
            connection.close();
        });
        gateway.open(Map.of("plain-1", server));
        String first = call(Kind.ORDER);
        assertTrue(first.startsWith("HTTP/1.1 502 "), first);
        String next = call(Kind.ORDER);
        assertTrue(next.startsWith("HTTP/1.1 200 "), next);
    }

    /** The rest of the bytes belongs to no request. */
    @Test
    void theConnectionOfABrokenAnswerIsNotUsedAgain() throws IOException {
        open("HTTP/1.1 000 OK|$FIELDS|content-length: $LENGTH||$BODY"
                + "HTTP/1.1 200 OK|$FIELDS|content-length: $LENGTH||$BODY");
        call(Kind.ORDER);
        String second = call(Kind.ORDER);
        assertTrue(second.startsWith("HTTP/1.1 200 "), second);
        assertEquals(2, server.received().size());
        assertFalse(server.received().get(0).connection()
                == server.received().get(1).connection());
    }

    /** The operator sees which part was invalid, and whose. */
    @ParameterizedTest
    @CsvSource({
        "status_line, HTTP/1.1 000 OK|$FIELDS|content-length: $LENGTH||$BODY",
        "field_line, HTTP/1.1 200 OK|$FIELDS|content length: $LENGTH||$BODY",
        "framing, HTTP/1.1 200 OK|$FIELDS|transfer-encoding: gzip||$BODY",
        "chunk, HTTP/1.1 200 OK|$FIELDS|transfer-encoding: chunked||$HEX |$BODY|0||",
        "trailer, HTTP/1.1 200 OK|$FIELDS|transfer-encoding: chunked||$HEX|$BODY|0|x y: z||",
    })
    void aCounterTellsWhichPartWasInvalid(String part, String answer) throws IOException {
        open(answer);
        call(Kind.ORDER);
        String metrics = gateway.metrics().text();
        assertTrue(metrics.contains("figspan_responses_invalid_" + part + "_total 1"), metrics);
        assertTrue(metrics.contains("figspan_attempts_broken_total 1"), metrics);
    }
}
