package io.figspan.wire.http;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Decides whether the bytes that a server sends are an HTTP/1 response, by the status lines of the response and of
 * informational ones before it (RFC 9112, section 4). Reads each byte once, keeps one line at most, and has no clock or
 * input of its own.
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
        if (phase == Phase.STATUS_LINE) {
            readStatusLine();
            return;
        }
        if (buffer.isEmptyLine()) {
            phase = statusLine.isInformational() ? Phase.STATUS_LINE : Phase.BODY;
        }
        buffer.detachAll();
    }

    private void readStatusLine() {
        if (!buffer.hasLineBreak()) {
            reject("the line must end with CR and LF, and in time", buffer.detachAll());
            return;
        }
        byte[] line = buffer.detachLine();
        StatusLine.violation(line).ifPresent(rule -> reject(rule, line));
        if (invalid.isEmpty()) {
            statusLine = StatusLine.of(line);
            phase = Phase.FIELDS;
        }
    }

    private void reject(String rule, byte[] line) {
        invalid = Optional.of(ResponseVerdict.Invalid.of(MessagePart.STATUS_LINE, rule, line));
    }
}
