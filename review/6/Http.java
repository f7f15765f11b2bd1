import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
    private Http() {}

    /** The first line of a message and its headers, with names in lower case. */
    record Head(String startLine, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** Length of the body; -1 if the headers name none. */
        int length() {
            return headers.containsKey("content-length") ? Integer.parseInt(header("content-length")) : -1;
        }

        boolean isChunked() {
            return header("transfer-encoding").equalsIgnoreCase("chunked");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ", -1)[1]);
        }

        String target() {
            return startLine.split(" ", -1)[1];
        }
    }

    static Head readHead(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Head(startLine, headers);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended within a head");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    /** Reads a body; throws an exception if it ends before its framing says so. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (!head.isChunked()) {
            int length = Math.max(0, head.length());
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("the body ended after " + body.length + " of " + length + " bytes");
            }
            return body;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(readLine(in), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) {
                throw new EOFException("the body ended within a chunk");
            }
            body.writeBytes(chunk);
            readLine(in);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
