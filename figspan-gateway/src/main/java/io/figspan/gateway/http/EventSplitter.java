package io.figspan.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) into whole events without changing their bytes. A
 * part of an event that was cut off is never passed on.
 */
public final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    private final int maxEventBytes;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;
    private int scanned;
    /** Where the value of the first id of the event in work lies, from its start; 0 while none was seen. */
    private int idStart;

    private int idEnd;

    public EventSplitter(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /**
     * Takes bytes and passes on each event that is complete, with its id. The buffer given to the consumer is a copy
     * that the consumer owns.
     *
     * @return false when an event is longer than allowed; the splitter is then of no more use
     */
    public boolean add(ByteBuf bytes, BiConsumer<ByteBuf, OptionalLong> events) {
        pending = join(bytes);
        int end;
        while ((end = endOfEvent()) > 0) {
            OptionalLong id = readId();
            ByteBuf event = pending.readRetainedSlice(end);
            startEvent();
            events.accept(event, id);
        }
        if (!pending.isReadable()) {
            release();
        }
        return pending.readableBytes() <= maxEventBytes;
    }

    /** Whether bytes of an unfinished event are held. */
    public boolean hasPartialEvent() {
        return pending.isReadable();
    }

    public void release() {
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
        startEvent();
    }

    private void startEvent() {
        scanned = 0;
        idStart = 0;
        idEnd = 0;
    }

    private ByteBuf join(ByteBuf bytes) {
        if (!pending.isReadable()) {
            return Unpooled.copiedBuffer(bytes);
        }
        ByteBuf joined = Unpooled.buffer(pending.readableBytes() + bytes.readableBytes());
        joined.writeBytes(pending);
        joined.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        pending.release();
        return joined;
    }

    /** Length of the first event with the empty line that ends it; 0 when it is not complete. */
    private int endOfEvent() {
        int start = pending.readerIndex();
        int lineStart = start + scanned;
        while (true) {
            int lineEnd = pending.indexOf(lineStart, pending.writerIndex(), LINE_FEED);
            if (lineEnd < 0) {
                scanned = lineStart - start;
                return 0;
            }
            if (isEmptyLine(lineStart, lineEnd)) {
                return lineEnd + 1 - start;
            }
            if (idStart == 0 && isId(lineStart, lineEnd)) {
                idStart = lineStart + ID_FIELD.length - start;
                idEnd = lineEnd - start;
            }
            lineStart = lineEnd + 1;
        }
    }

    private boolean isEmptyLine(int lineStart, int lineEnd) {
        return lineEnd == lineStart || (lineEnd == lineStart + 1 && pending.getByte(lineStart) == CARRIAGE_RETURN);
    }

    private boolean isId(int lineStart, int lineEnd) {
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
        if (idStart == 0) {
            return OptionalLong.empty();
        }
        String id = pending.toString(pending.readerIndex() + idStart, idEnd - idStart, StandardCharsets.UTF_8);
        try {
            return OptionalLong.of(Long.parseLong(id.strip()));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
