package io.figspan.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events without changing their bytes.
 * An incomplete event is never emitted. Not thread-safe.
 */
public final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COLON = ':';
    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    private final int maxEventBytes;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;
    private int scannedBytes;
    /** Offset of the value of the first id field from the start of the current event; 0 while there is none. */
    private int idStartOffset;

    private int idEndOffset;

    public EventSplitter(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /**
     * Appends bytes and emits each complete event with its id, if it has a numeric one. The buffer given to the
     * consumer is a copy that the consumer owns.
     *
     * @return false if an event exceeds the maximum length; the splitter can't be used any more then
     */
    public boolean add(ByteBuf bytes, BiConsumer<ByteBuf, OptionalLong> consumer) {
        pending = append(bytes);
        int length;
        while ((length = completeEventLength()) > 0) {
            OptionalLong id = readId();
            ByteBuf event = pending.readRetainedSlice(length);
            resetScan();
            consumer.accept(event, id);
        }
        if (!pending.isReadable()) {
            release();
        }
        return pending.readableBytes() <= maxEventBytes;
    }

    /** Whether a complete event has no fields: servers send comments to keep a connection open. */
    public static boolean isComment(ByteBuf event) {
        int lineStart = event.readerIndex();
        while (lineStart < event.writerIndex()) {
            byte first = event.getByte(lineStart);
            if (first != COLON && first != LINE_FEED && first != CARRIAGE_RETURN) {
                return false;
            }
            lineStart = event.indexOf(lineStart, event.writerIndex(), LINE_FEED) + 1;
        }
        return true;
    }

    /** Whether the start of an incomplete event is buffered. */
    public boolean hasPartialEvent() {
        return pending.isReadable();
    }

    public void release() {
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
        resetScan();
    }

    private void resetScan() {
        scannedBytes = 0;
        idStartOffset = 0;
        idEndOffset = 0;
    }

    private ByteBuf append(ByteBuf bytes) {
        if (!pending.isReadable()) {
            return Unpooled.copiedBuffer(bytes);
        }
        ByteBuf joined = Unpooled.buffer(pending.readableBytes() + bytes.readableBytes());
        joined.writeBytes(pending);
        joined.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        pending.release();
        return joined;
    }

    /** Length of the first buffered event, including the empty line that ends it; 0 if it is incomplete. */
    private int completeEventLength() {
        int start = pending.readerIndex();
        int lineStart = start + scannedBytes;
        while (true) {
            int lineEnd = pending.indexOf(lineStart, pending.writerIndex(), LINE_FEED);
            if (lineEnd < 0) {
                scannedBytes = lineStart - start;
                return 0;
            }
            if (isEmptyLine(lineStart, lineEnd)) {
                return lineEnd + 1 - start;
            }
            if (idStartOffset == 0 && isIdField(lineStart, lineEnd)) {
                idStartOffset = lineStart + ID_FIELD.length - start;
                idEndOffset = lineEnd - start;
            }
            lineStart = lineEnd + 1;
        }
    }

    private boolean isEmptyLine(int lineStart, int lineEnd) {
        return lineEnd == lineStart || (lineEnd == lineStart + 1 && pending.getByte(lineStart) == CARRIAGE_RETURN);
    }

    private boolean isIdField(int lineStart, int lineEnd) {
        if (lineEnd - lineStart < ID_FIELD.length) {
            return false;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (pending.getByte(lineStart + i) != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }

    private OptionalLong readId() {
        if (idStartOffset == 0) {
            return OptionalLong.empty();
        }
        String id = pending.toString(
                pending.readerIndex() + idStartOffset, idEndOffset - idStartOffset, StandardCharsets.UTF_8);
        try {
            return OptionalLong.of(Long.parseLong(id.strip()));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
