package io.figspan.wire.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Decides whether the bytes that a server sends are an HTTP/1 response, by the heads of the response and of
 * informational ones before it (RFC 9112, sections 4 to 6). Reads each byte once, keeps one line at most, and has no
 * clock or input of its own.
 */
public final class ResponseSyntax {
    /** As long as the longest head that the decoders behind take. */
    private static final int MAX_LINE_BYTES = 8_192;

    /** What the next byte belongs to. */
    private enum Phase {
        STATUS_LINE,
        FIELDS,
        BODY
    }

    private final LineBuffer buffer = new LineBuffer(MAX_LINE_BYTES);
    private Phase phase = Phase.STATUS_LINE;
    private StatusLine statusLine;
    private FramingFields framing;
    private Optional<ResponseVerdict.Invalid> invalid = Optional.empty();

    /** Begins the response to a request. */
    public void expectResponse() {
        phase = Phase.STATUS_LINE;
    }

    /**
     * Reads bytes of the current response.
     *
     * @return invalid from the first violation on, for good
     */
    public ResponseVerdict read(ByteBuffer bytes) {
        while (bytes.hasRemaining() && phase != Phase.BODY && invalid.isEmpty()) {
            readLine(bytes);
        }
        return invalid.isPresent() ? invalid.get() : new ResponseVerdict.Partial();
    }

    private void readLine(ByteBuffer bytes) {
        if (!buffer.take(bytes)) {
            return;
        }
        if (!buffer.hasLineBreak()) {
            reject(partOfLine(), "the line must end with CR and LF, and in time", buffer.detachAll());
            return;
        }
        byte[] line = buffer.detachLine();
        if (phase == Phase.STATUS_LINE) {
            readStatusLine(line);
        } else {
            readField(line);
        }
    }

    private MessagePart partOfLine() {
        return phase == Phase.STATUS_LINE ? MessagePart.STATUS_LINE : MessagePart.FIELD_LINE;
    }

    private void readStatusLine(byte[] line) {
        if (accept(MessagePart.STATUS_LINE, StatusLine.violation(line), line)) {
            statusLine = StatusLine.of(line);
            framing = new FramingFields();
            phase = Phase.FIELDS;
        }
    }

    private void readField(byte[] line) {
        if (line.length == 0) {
            endHead();
        } else if (accept(MessagePart.FIELD_LINE, FieldLine.violation(line), line)) {
            framing.add(FieldLine.of(line));
        }
    }

    private void endHead() {
        byte[] excerpt = framing.excerpt().getBytes(StandardCharsets.ISO_8859_1);
        if (accept(MessagePart.FRAMING, framing.violation(statusLine), excerpt)) {
            phase = statusLine.isInformational() ? Phase.STATUS_LINE : Phase.BODY;
        }
    }

    private boolean accept(MessagePart part, Optional<String> violation, byte[] line) {
        violation.ifPresent(rule -> reject(part, rule, line));
        return violation.isEmpty();
    }

    private void reject(MessagePart part, String rule, byte[] line) {
        invalid = Optional.of(ResponseVerdict.Invalid.of(part, rule, line));
    }
}
