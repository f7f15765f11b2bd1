package io.figspan.wire.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Decides whether the bytes that a server sends are an HTTP/1 response (RFC 9112, sections 4 to 7), strictly: what
 * could be read in two ways is invalid. Reads each byte once, keeps one line at most, and has no clock or input of its
 * own. Responses that follow each other are read one by one.
 */
public final class ResponseSyntax {
    /** As long as the longest head that the decoders behind take. */
    private static final int MAX_LINE_BYTES = 8_192;

    private static final int LINE_BREAK_BYTES = 2;

    /** What the next byte belongs to. */
    private enum Phase {
        STATUS_LINE,
        FIELDS,
        BODY_WITH_LENGTH,
        /** Any bytes, until the connection ends. */
        BODY_UNTIL_CLOSE,
        CHUNK_HEADER,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        COMPLETE
    }

    private final LineBuffer buffer = new LineBuffer(MAX_LINE_BYTES);
    private Phase phase = Phase.STATUS_LINE;
    private boolean isToHead;
    private StatusLine statusLine;
    private FramingFields framing;
    private long dataLeft;
    private Optional<ResponseVerdict.Invalid> invalid = Optional.empty();

    /** Begins the response to a request; by default the next one begins after the last, and is not to HEAD. */
    public void expectResponse(boolean toHead) {
        phase = Phase.STATUS_LINE;
        isToHead = toHead;
    }

    /**
     * Reads bytes up to the end of the current response, and leaves the position there.
     *
     * @return invalid from the first violation on, for good
     */
    public ResponseVerdict read(ByteBuffer bytes) {
        if (phase == Phase.COMPLETE && bytes.hasRemaining()) {
            expectResponse(false);
        }
        while (bytes.hasRemaining() && phase != Phase.COMPLETE && invalid.isEmpty()) {
            readNext(bytes);
        }
        if (invalid.isPresent()) {
            return invalid.get();
        }
        return phase == Phase.COMPLETE ? new ResponseVerdict.Complete() : new ResponseVerdict.Partial();
    }

    private void readNext(ByteBuffer bytes) {
        switch (phase) {
            case BODY_UNTIL_CLOSE -> bytes.position(bytes.limit());
            case BODY_WITH_LENGTH, CHUNK_DATA -> skipData(bytes);
            case CHUNK_END -> readChunkEnd(bytes);
            default -> readLine(bytes);
        }
    }

    private void skipData(ByteBuffer bytes) {
        int count = (int) Math.min(dataLeft, bytes.remaining());
        bytes.position(bytes.position() + count);
        dataLeft -= count;
        if (dataLeft == 0) {
            phase = phase == Phase.CHUNK_DATA ? Phase.CHUNK_END : Phase.COMPLETE;
        }
    }

    private void readChunkEnd(ByteBuffer bytes) {
        boolean hasEnded = buffer.take(bytes);
        if (buffer.isEmptyLine()) {
            buffer.detachLine();
            phase = Phase.CHUNK_HEADER;
        } else if (hasEnded || buffer.length() >= LINE_BREAK_BYTES) {
            reject(MessagePart.CHUNK, "its data must end with a line break", buffer.detachAll());
        }
    }

    private void readLine(ByteBuffer bytes) {
        if (!buffer.take(bytes)) {
            return;
        }
        if (!buffer.hasLineBreak()) {
            reject(
                    partOfLine(),
                    "the line must end with CR and LF, within " + MAX_LINE_BYTES + " bytes",
                    buffer.detachAll());
            return;
        }
        byte[] line = buffer.detachLine();
        switch (phase) {
            case STATUS_LINE -> readStatusLine(line);
            case FIELDS -> readField(line);
            case CHUNK_HEADER -> readChunkHeader(line);
            default -> readTrailer(line);
        }
    }

    private MessagePart partOfLine() {
        return switch (phase) {
            case STATUS_LINE -> MessagePart.STATUS_LINE;
            case CHUNK_HEADER -> MessagePart.CHUNK;
            case TRAILERS -> MessagePart.TRAILER;
            default -> MessagePart.FIELD_LINE;
        };
    }

    private void readStatusLine(byte[] line) {
        if (!accept(MessagePart.STATUS_LINE, StatusLine.violation(line), line)) {
            return;
        }
        statusLine = StatusLine.of(line);
        framing = new FramingFields();
        phase = Phase.FIELDS;
    }

    private void readField(byte[] line) {
        if (line.length == 0) {
            endHead();
        } else if (accept(MessagePart.FIELD_LINE, FieldLine.violation(line), line)) {
            framing.add(FieldLine.of(line));
        }
    }

    private void endHead() {
        Optional<String> violation = framing.violation(statusLine);
        if (violation.isPresent()) {
            reject(MessagePart.FRAMING, violation.get(), framing.excerpt().getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        dataLeft = framing.contentLength().orElse(0L);
        phase = phaseAfterHead();
    }

    private Phase phaseAfterHead() {
        if (statusLine.isInformational()) {
            return Phase.STATUS_LINE;
        }
        if (isToHead || statusLine.excludesBody()) {
            return Phase.COMPLETE;
        }
        if (framing.isChunked()) {
            return Phase.CHUNK_HEADER;
        }
        if (framing.contentLength().isEmpty()) {
            return Phase.BODY_UNTIL_CLOSE;
        }
        return dataLeft == 0 ? Phase.COMPLETE : Phase.BODY_WITH_LENGTH;
    }

    private void readChunkHeader(byte[] line) {
        if (!accept(MessagePart.CHUNK, ChunkHeader.violation(line), line)) {
            return;
        }
        ChunkHeader header = ChunkHeader.of(line);
        dataLeft = header.sizeBytes();
        phase = header.isLast() ? Phase.TRAILERS : Phase.CHUNK_DATA;
    }

    private void readTrailer(byte[] line) {
        if (line.length == 0) {
            phase = Phase.COMPLETE;
        } else {
            accept(MessagePart.TRAILER, FieldLine.violation(line), line);
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
