package io.figspan.gateway;

import java.util.List;

/** Answers that are no HTTP response, of servers whose answers need no particular fields. */
public final class InvalidAnswers {
    private InvalidAnswers() {}

    /** The bytes of answers that would have this body, one for each character, if they were read leniently. */
    public static List<String> withBody(String body) {
        String hex = Integer.toHexString(body.length());
        String length = "content-length: " + body.length();
        return List.of(
                "HTTP/1.1 000 OK\r\n" + length + "\r\n\r\n" + body,
                "HTTP/1.1  200 OK\r\n" + length + "\r\n\r\n" + body,
                "HTTP/2.0 200 OK\r\n" + length + "\r\n\r\n" + body,
                "HTTP/1.1 200 OK\r\nx a: b\r\n" + length + "\r\n\r\n" + body,
                "HTTP/1.1 200 OK\r\ncontent-length : " + body.length() + "\r\n\r\n" + body,
                "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n" + length + "\r\n\r\n" + body,
                "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n" + hex + "\r\n" + body + "\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + hex + " \r\n" + body + "\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + hex + "\r\n" + body
                        + "\r\n0\r\nx y: z\r\n\r\n");
    }
}
