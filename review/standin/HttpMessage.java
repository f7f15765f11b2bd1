package io.figspan.review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message with its whole body, as a stand-in reads it from a socket. */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {

    /** Reads a request; null if the connection ends before its first byte. */
    static HttpMessage readRequest(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = readHeaders(in);
        return new HttpMessage(startLine, headers, readBody(in, headers, new byte[0]));
    }

    /** Reads a response whose end is known by its length, its chunks or the end of the connection. */
    static HttpMessage readResponse(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            throw new EOFException("the connection ended before a response");
        }
        Map<String, String> headers = readHeaders(in);
        return new HttpMessage(startLine, headers, readBody(in, headers, null));
    }

    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, byte[] withoutLength)
            throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return readChunks(in);
        }
        String length = headers.get("content-length");
        if (length != null) {
            return readExactly(in, Integer.parseInt(length));
        }
        return withoutLength != null ? withoutLength : in.readAllBytes();
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            byte[] chunk = readChunk(in);
            if (chunk.length == 0) {
                return body.toByteArray();
            }
            body.write(chunk);
        }
    }

    /** Reads one chunk; empty for the last one, whose trailers are read too. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("the connection ended within a body");
        }
        byte[] chunk = readExactly(in, Integer.parseInt(size.split(";", 2)[0].strip(), 16));
        if (chunk.length == 0) {
            readHeaders(in);
        } else {
            readLine(in);
        }
        return chunk;
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int read;
        while ((read = in.read()) >= 0) {
            if (read == '\n') {
                return line.toString();
            }
            if (read != '\r') {
                line.append((char) read);
            }
        }
        if (line.length() > 0) {
            throw new EOFException("the connection ended within a line");
        }
        return null;
    }

    String method() {
        return startLine.split(" ", 3)[0];
    }

    String target() {
        return startLine.split(" ", 3)[1];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ", 3)[1]);
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
