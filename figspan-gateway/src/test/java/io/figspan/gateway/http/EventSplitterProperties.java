package io.figspan.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against events that are emitted incomplete or with changed bytes. */
class EventSplitterProperties {
    private static final int MAX_EVENT_BYTES = 200;

    private final List<String> events = new ArrayList<>();
    private final List<Long> ids = new ArrayList<>();
    private final EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);

    private boolean add(String text) {
        return splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8), (event, id) -> {
            events.add(event.toString(StandardCharsets.UTF_8));
            ids.add(id.orElse(-1));
            event.release();
        });
    }

    @Property(seed = "41", tries = 200)
    void eventsAreEmittedWholeWhereverTheStreamIsSplit(@ForAll @IntRange(max = 100_000) int seed) {
        events.clear();
        ids.clear();
        Random random = new Random(seed);
        List<String> sent = new ArrayList<>();
        for (int id = 1; id <= 5; id++) {
            String end = random.nextBoolean() ? "\n" : "\r\n";
            sent.add("version: 3" + end + "id: " + id + end + "data: p" + id + end + end);
        }
        String text = String.join("", sent) + "id: 6\ndata: cut";
        EventSplitter fresh = new EventSplitter(MAX_EVENT_BYTES);
        int from = 0;
        while (from < text.length()) {
            int to = Math.min(text.length(), from + 1 + random.nextInt(20));
            fresh.add(Unpooled.copiedBuffer(text.substring(from, to), StandardCharsets.UTF_8), (event, id) -> {
                events.add(event.toString(StandardCharsets.UTF_8));
                ids.add(id.orElse(-1));
                event.release();
            });
            from = to;
        }
        assertEquals(sent, events);
        assertEquals(List.of(1L, 2L, 3L, 4L, 5L), ids);
        assertTrue(fresh.hasPartialEvent());
        fresh.release();
    }

    @Test
    void theIdOfEachEventIsParsed() {
        assertTrue(add("id: 7\ndata: a\n\ndata: none\n\nid:8\n\n"));
        assertEquals(List.of(7L, -1L, 8L), ids);
        assertFalse(splitter.hasPartialEvent());
    }

    @Test
    void theFirstIdFieldIsUsedAndTextThatLooksLikeOneIsIgnored() {
        assertTrue(add("data: id: 4\nid: 5\nid: 6\n\nid: five\n\ni\nid\n\n: id: 9\n\n"));
        assertEquals(List.of(5L, -1L, -1L, -1L), ids);
    }

    @Test
    void anEventWithoutFieldsIsAComment() {
        List<Boolean> comments = new ArrayList<>();
        String text = ": waiting\n\n\n: a\r\n: b\r\n\r\n: a\ndata: b\n\ndata: a\n\nid: 1\n\n";
        splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8), (event, id) -> {
            comments.add(EventSplitter.isComment(event));
            event.release();
        });
        assertEquals(List.of(true, true, true, false, false, false), comments);
    }

    @Test
    void anEventThatIsTooLongIsRejected() {
        assertFalse(add("data: " + "x".repeat(MAX_EVENT_BYTES)));
        splitter.release();
    }
}
