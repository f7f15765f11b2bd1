package io.figspan.gateway.protocol;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;

/**
 * Header lines in one array of bytes, in their order. A decoded line of four bytes takes some 140 bytes of memory, so
 * the lines of a request that waits for its body or its answer are kept in this form.
 */
public final class HeaderBlock {
    private static final char NAME_END = ':';
    private static final char LINE_END = '\n';

    private final byte[] lines;

    private HeaderBlock(byte[] lines) {
        this.lines = lines;
    }

    /** Takes over the lines of decoded headers, whose names have no colon and whose values have no line feed. */
    public static HeaderBlock of(HttpHeaders headers) {
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
        while (entries.hasNext()) {
            Map.Entry<CharSequence, CharSequence> entry = entries.next();
            append(lines, entry.getKey(), NAME_END);
            append(lines, entry.getValue(), LINE_END);
        }
        return new HeaderBlock(lines.toByteArray());
    }

    private static void append(ByteArrayOutputStream lines, CharSequence text, char end) {
        lines.writeBytes(text.toString().getBytes(StandardCharsets.ISO_8859_1));
        lines.write(end);
    }

    /** The headers as objects that may be changed. They were validated when they were received. */
    public HttpHeaders toHeaders() {
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        int start = 0;
        while (start < lines.length) {
            int nameEnd = indexOf(NAME_END, start);
            int lineEnd = indexOf(LINE_END, nameEnd);
            headers.add(text(start, nameEnd), text(nameEnd + 1, lineEnd));
            start = lineEnd + 1;
        }
        return headers;
    }

    private int indexOf(char end, int start) {
        int index = start;
        while (lines[index] != end) {
            index++;
        }
        return index;
    }

    private String text(int start, int end) {
        return new String(lines, start, end - start, StandardCharsets.ISO_8859_1);
    }

    int lengthBytes() {
        return lines.length;
    }
}
