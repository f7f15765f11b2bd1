package io.figspan.gateway.http;

import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) behind complete events without changing its bytes.
 * Each byte is scanned once, and all events that are complete are taken together, so that the cost of a byte does not
 * depend on how the stream is divided into lines, events and reads. Not thread-safe.
 */
public final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COLON = ':';
    private static final byte SPACE = ' ';
    private static final byte[] ID_FIELD = {'i', 'd'};
    private static final byte[] DATA_FIELD = {'d', 'a', 't', 'a'};

    /** Digits of the longest id. */
    private static final int MAX_ID_BYTES = 20;

    private final int maxEventBytes;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;
    /** Offsets from the reader index of the pending bytes. */
    private int scannedBytes;

    private int lineStart;
    private int completeBytes;
    private int trailingFillerBytes;
    private long progressEvents;
    private OptionalLong lastCompleteId = OptionalLong.empty();

    /** What is known of the event that is not complete yet. */
    private OptionalLong eventId = OptionalLong.empty();

    private boolean hasIdField;
    private boolean hasData;
    private long greatestId = Long.MIN_VALUE;

    public EventSplitter(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /** Appends a copy of bytes that were read. */
    public void append(ByteBuf bytes) {
        if (pending.capacity() == 0) {
            pending = Unpooled.buffer(bytes.readableBytes());
        }
        pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        scan();
    }

    /** Removes all complete events; empty if there is none. */
    public Optional<EventBatch> takeComplete() {
        if (completeBytes == 0) {
            return Optional.empty();
        }
        EventBatch batch = new EventBatch(detachComplete(), progressEvents, lastCompleteId, trailingFillerBytes);
        scannedBytes -= completeBytes;
        lineStart -= completeBytes;
        completeBytes = 0;
        trailingFillerBytes = 0;
        progressEvents = 0;
        lastCompleteId = OptionalLong.empty();
        return Optional.of(batch);
    }

    /** Passes the buffer on and keeps a copy of the event that is not complete, which was read with the others. */
    private ByteBuf detachComplete() {
        ByteBuf detached = pending;
        int restBytes = detached.readableBytes() - completeBytes;
        pending = restBytes == 0
                ? Unpooled.EMPTY_BUFFER
                : Unpooled.buffer(restBytes).writeBytes(detached, completeBytes, restBytes);
        return detached.writerIndex(completeBytes);
    }

    /** Whether the event that is not complete yet exceeds the maximum length. */
    public boolean isEventTooLong() {
        return partialEventBytes() > maxEventBytes;
    }

    /** Whether the start of an incomplete event is buffered. */
    public boolean hasPartialEvent() {
        return partialEventBytes() > 0;
    }

    /** Length so far of the event that is not complete yet. */
    public int partialEventBytes() {
        return pending.readableBytes() - completeBytes;
    }

    public void release() {
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
        scannedBytes = 0;
        lineStart = 0;
        completeBytes = 0;
    }

    // Scanning. Buffers are never read from in place, so that offsets are indexes.

    private void scan() {
        int end = pending.writerIndex();
        while (scannedBytes < end) {
            int lineEnd = pending.indexOf(scannedBytes, end, LINE_FEED);
            if (lineEnd < 0) {
                scannedBytes = end;
                return;
            }
            scannedBytes = lineEnd + 1;
            lineComplete(lineEnd);
            lineStart = scannedBytes;
        }
    }

    private void lineComplete(int lineEnd) {
        boolean hasCarriageReturn = lineEnd > lineStart && pending.getByte(lineEnd - 1) == CARRIAGE_RETURN;
        int contentEnd = hasCarriageReturn ? lineEnd - 1 : lineEnd;
        if (contentEnd == lineStart) {
            eventComplete();
        } else if (!hasData && isField(DATA_FIELD, contentEnd)) {
            hasData = valueStart(DATA_FIELD, contentEnd) < contentEnd;
        } else if (!hasIdField && isField(ID_FIELD, contentEnd)) {
            hasIdField = true;
            eventId = parseId(valueStart(ID_FIELD, contentEnd), contentEnd);
        }
    }

    private void eventComplete() {
        boolean isNewId = eventId.isPresent() && eventId.getAsLong() > greatestId;
        if (isNewId) {
            greatestId = eventId.getAsLong();
        }
        if (isNewId || hasData) {
            progressEvents++;
            trailingFillerBytes = 0;
        } else {
            trailingFillerBytes += scannedBytes - completeBytes;
        }
        if (eventId.isPresent()) {
            lastCompleteId = eventId;
        }
        completeBytes = scannedBytes;
        eventId = OptionalLong.empty();
        hasIdField = false;
        hasData = false;
    }

    /** Whether the line has this field, with a colon behind its name. */
    private boolean isField(byte[] name, int contentEnd) {
        int colon = lineStart + name.length;
        if (colon >= contentEnd || pending.getByte(colon) != COLON) {
            return false;
        }
        for (int i = 0; i < name.length; i++) {
            if (pending.getByte(lineStart + i) != name[i]) {
                return false;
            }
        }
        return true;
    }

    private int valueStart(byte[] name, int contentEnd) {
        int start = lineStart + name.length + 1;
        return start < contentEnd && pending.getByte(start) == SPACE ? start + 1 : start;
    }

    /** Reads a number without an exception for other values, since a faulty server may send a million of them. */
    private OptionalLong parseId(int start, int contentEnd) {
        if (contentEnd - start > MAX_ID_BYTES) {
            return OptionalLong.empty();
        }
        String id = pending.toString(start, contentEnd - start, StandardCharsets.ISO_8859_1);
        Long number = Longs.tryParse(id.strip());
        return number == null ? OptionalLong.empty() : OptionalLong.of(number);
    }
}
