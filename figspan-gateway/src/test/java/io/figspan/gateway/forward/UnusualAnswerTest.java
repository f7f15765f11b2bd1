package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that are valid, though unusual, and are refused or changed on their way (issue 59). */
class UnusualAnswerTest {
    private static final String BODY = "answer done";
    private static final String LENGTH = "content-length: 11";
    private static final String CHUNKED = "transfer-encoding: chunked";

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

    /** Answers each request with these bytes, in which a bar is a line break, and closes the connection. */
    private String callBefore(String answer) throws IOException {
        server = new ScriptedServer((request, connection) -> {
            String fields = "attempt: " + request.header("attempt") + "\r\nsignature: s";
            connection.write(answer.replace("$FIELDS", fields).replace("|", "\r\n"));
            connection.close();
        });
        gateway.open(Map.of("plain-1", server));
        return gateway.call("POST", "/order/1", "", "body");
    }

    private void assertServed(String answer) throws IOException {
        String response = callBefore(answer);
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        assertTrue(response.endsWith("\r\n\r\n" + BODY), response);
        assertEquals(1, server.received().size());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200",
                "HTTP/1.1 200 two words \tand more",
                "HTTP/1.0 200 OK",
                "HTTP/1.9 200 OK",
                "HTTP/1.1 100 Continue||HTTP/1.1 200 OK",
                "HTTP/1.1 102 x|x-a: y||HTTP/1.1 103 |x-b:||HTTP/1.1 200 OK",
            })
    void anAnswerWithAnUnusualStatusLineIsServed(String statusLine) throws IOException {
        assertServed(statusLine + "|$FIELDS|" + LENGTH + "||" + BODY);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "x-empty:",
                "x-empty: \t ",
                "!#$%&'*+-.^_`~0aZ: y",
                "x-value: \u0080\u00e9\u00ff",
                "x-value: a\tb: c",
                "x-value:no blank",
                "X-REPEATED: 1|x-repeated: 2",
            })
    void anAnswerWithUnusualFieldsIsServedWithThem(String fields) throws IOException {
        String response = callBefore("HTTP/1.1 200 OK|$FIELDS|" + fields + "|" + LENGTH + "||" + BODY);
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        for (String field : fields.split("\\|", -1)) {
            String name = field.substring(0, field.indexOf(':'));
            String value = field.substring(field.indexOf(':') + 1).strip();
            assertTrue(response.contains("\r\n" + name + ": " + value + "\r\n"), response);
        }
        assertTrue(response.endsWith("\r\n\r\n" + BODY), response);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                LENGTH,
                "Content-LENGTH:11",
                "content-length: 0011",
                "connection: close|" + LENGTH,
                "connection: close",
                "x-a: b",
            })
    void anAnswerWithUnusualFramingIsServed(String framing) throws IOException {
        assertServed("HTTP/1.1 200 OK|$FIELDS|" + framing + "||" + BODY);
    }

    @ParameterizedTest
    @ValueSource(strings = {LENGTH + "|" + LENGTH, "content-length: 11, 11", "content-length: 11,11|" + LENGTH})
    void anAnswerThatRepeatsItsLengthIsServed(String framing) throws IOException {
        assertServed("HTTP/1.1 200 OK|$FIELDS|" + framing + "||" + BODY);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "b|answer done|0||",
                "B|answer done|0||",
                "00000000000000000b|answer done|000||",
                "6|answer|5| done|0||",
                "b;name|answer done|0;name=value||",
                "b ; name = value;other=\"quo\\\"ted; \u00e9\"|answer done|0||",
                "b|answer done|0|x-trailer: y|x-empty:||",
            })
    void anAnswerWithUnusualChunksIsServed(String chunks) throws IOException {
        assertServed("HTTP/1.1 200 OK|$FIELDS|" + CHUNKED + "||" + chunks);
        server.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"Transfer-Encoding:CHUNKED", "transfer-encoding: Chunked "})
    void anAnswerThatNamesItsCodingUnusuallyIsServed(String framing) throws IOException {
        assertServed("HTTP/1.1 200 OK|$FIELDS|" + framing + "||b|answer done|0||");
    }

    /** An error of a server that ran the request. */
    @ParameterizedTest
    @ValueSource(ints = {400, 404, 418, 500, 599})
    void anyStatusUpTo599IsServed(int status) throws IOException {
        String response = callBefore("HTTP/1.1 " + status + " x|$FIELDS|" + LENGTH + "||" + BODY);
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        assertTrue(response.endsWith("\r\n\r\n" + BODY), response);
    }

    /** What follows is no part of the answer (RFC 9112, section 6.3). */
    @ParameterizedTest
    @ValueSource(
            strings = {"204 x|$FIELDS||", "204 x|$FIELDS|content-length: 0||", "204 x|$FIELDS|content-length: 5||hello"
            })
    void anAnswerWithoutContentIsServed(String answer) throws IOException {
        String response = callBefore("HTTP/1.1 " + answer);
        assertTrue(response.startsWith("HTTP/1.1 204 "), response);
        assertTrue(response.endsWith("\r\n\r\n"), response);
    }

    @Test
    void anAnswerToAHeadRequestIsServedWithItsLengthAndWithoutBody() throws IOException {
        server = new ScriptedServer((request, connection) -> connection.begin(request, 200, LENGTH + "\r\n"));
        gateway.open(Map.of("plain-1", server));
        for (int number = 1; number <= 2; number++) {
            String response = gateway.call("HEAD", "/order/" + number, "", "");
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
            assertTrue(response.endsWith("\r\n\r\n"), response);
        }
    }

    /** Bytes after a complete answer belong to no request. */
    @ParameterizedTest
    @ValueSource(strings = {"more", "HTTP/1.1 000 x||", "HTTP/1.1 200 OK|$FIELDS|" + LENGTH + "||other bytes"})
    void aCompleteAnswerIsServedWithoutTheBytesBehindIt(String excess) throws IOException {
        assertServed("HTTP/1.1 200 OK|$FIELDS|" + LENGTH + "||" + BODY + excess);
    }
}
