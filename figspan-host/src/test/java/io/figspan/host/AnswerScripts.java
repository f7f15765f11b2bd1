package io.figspan.host;

import java.util.stream.Stream;

/**
 * Answers with a body of some text, as bytes that a server writes. {@code $FIELDS} stands for more fields, {@code
 * $BODY}, {@code $LENGTH} and {@code $HEX} for the body and its length, and a bar for a line break.
 */
public final class AnswerScripts {
    private static final String OK = "HTTP/1.1 200 OK|$FIELDS";
    private static final String CHUNKED = OK + "transfer-encoding: chunked||";

    private AnswerScripts() {}

    /** Bytes that are no HTTP response. */
    public static Stream<String> invalid() {
        return Stream.of(
                "HTTP/1.1 000 OK|$FIELDScontent-length: $LENGTH||$BODY",
                "HTTP/1.1 099 OK|$FIELDScontent-length: $LENGTH||$BODY",
                "HTTP/1.1 600 OK|$FIELDScontent-length: $LENGTH||$BODY",
                "HTTP/1.1 101 OK|$FIELDScontent-length: $LENGTH||$BODY",
                "HTTP/1.1 2000 OK|$FIELDScontent-length: $LENGTH||$BODY",
                "HTTP/1.1  200 OK|$FIELDScontent-length: $LENGTH||$BODY",
                "HTTP/2.0 200 OK|$FIELDScontent-length: $LENGTH||$BODY",
                "HTTP/1.1 100 x|x a: b||" + OK + "content-length: $LENGTH||$BODY",
                OK + "x a: b|content-length: $LENGTH||$BODY",
                OK + "x-a : b|content-length: $LENGTH||$BODY",
                OK + " x-a: b|content-length: $LENGTH||$BODY",
                OK + "x-a|content-length: $LENGTH||$BODY",
                OK + "x-a: \u0001|content-length: $LENGTH||$BODY",
                OK + "content length: 3||$BODY",
                OK + "content-length : 3||$BODY",
                OK + "content-length\t: 3||$BODY",
                OK + "content-length: 3|content-length: $LENGTH||$BODY",
                OK + "transfer-encoding: gzip||$BODY",
                OK + "transfer-encoding: gzip|content-length: $LENGTH||$BODY",
                OK + "transfer-encoding: gzip, chunked||$HEX|$BODY|0||",
                OK + "transfer-encoding: chunked|content-length: $LENGTH||$HEX|$BODY|0||",
                CHUNKED + "$HEX |$BODY|0||",
                CHUNKED + "$HEX x|$BODY|0||",
                CHUNKED + "$HEX|$BODYx|0||",
                CHUNKED + "$HEX|$BODY|0|x a: b||",
                CHUNKED + "$HEX|$BODY|0|x-a : b||");
    }

    /** Responses that are valid, though unusual. */
    public static Stream<String> unusual() {
        return Stream.of(
                "HTTP/1.1 200 |$FIELDScontent-length: $LENGTH||$BODY",
                "HTTP/1.1 200|$FIELDScontent-length: $LENGTH||$BODY",
                "HTTP/1.1 100 x||HTTP/1.1 102 x||HTTP/1.1 103 x|l: m||HTTP/1.1 199 x||" + OK
                        + "content-length: $LENGTH||$BODY",
                OK + "!#$%&'*+-.^_`~: a|x-empty:|content-length: $LENGTH||$BODY",
                OK + "x-a: \u0080\u00ff|content-length: $LENGTH||$BODY",
                OK + "connection: close||$BODY",
                CHUNKED + "$HEX;a;b=\"c d\"|$BODY|0|t: u||");
    }

    /** The bytes of an answer; {@code fields} are lines that each end with a bar. */
    public static String expand(String answer, String fields, String body) {
        return answer.replace("$FIELDS", fields)
                .replace("|", "\r\n")
                .replace("$LENGTH", Integer.toString(body.length()))
                .replace("$HEX", Integer.toHexString(body.length()))
                .replace("$BODY", body);
    }
}
