package io.figspan.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against events that are emitted incomplete or changed, and against filler that counts as progress. */
class EventSplitterProperties {
    private static final int MAX_EVENT_BYTES = 200;

    /** Lines of sound and of faulty streams, with and without line ends of both kinds. */
    private static final List<String> LINES = List.of(
            "",
            "",
            "",
            ": comment",
            ":",
            "id: 3",
            "id: 7",
            "id:8",
            "id:",
            "id",
            "id: five",
            "data: a",
            "data:b",
            "data:",
            "data",
            "version: 3",
            "x",
            "\r");

    private final EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);
    private final StringBuilder emitted = new StringBuilder();
    private final List<Long> lastIds = new ArrayList<>();
    private long progressEvents;

    private void add(String text) {
        add(splitter, text);
    }

    private void add(EventSplitter to, String text) {
        to.append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        to.takeComplete().ifPresent(batch -> {
            emitted.append(batch.bytes().toString(StandardCharsets.UTF_8));
            batch.lastId().ifPresent(lastIds::add);
            progressEvents += batch.progressEvents();
            batch.release();
        });
    }

    /** A naive version that looks at the whole stream at once, line by line. */
    private record Naive(String complete, long progressEvents, OptionalLong lastId) {
        static Naive of(String text) {
            StringBuilder complete = new StringBuilder();
            StringBuilder event = new StringBuilder();
            List<String> values = new ArrayList<>();
            List<String> ids = new ArrayList<>();
            List<Long> seen = new ArrayList<>();
            long progress = 0;
            for (String line : text.split("(?<=\n)", -1)) {
                String content = line.replaceFirst("\r?\n$", "");
                event.append(line);
                if (line.endsWith("\n") && content.isEmpty()) {
                    OptionalLong id = ids.isEmpty() ? OptionalLong.empty() : number(ids.get(0));
                    boolean isNew = id.isPresent() && seen.stream().allMatch(other -> other < id.getAsLong());
                    progress += isNew || values.stream().anyMatch(value -> !value.isEmpty()) ? 1 : 0;
                    id.ifPresent(seen::add);
                    complete.append(event);
                    event.setLength(0);
                    values.clear();
                    ids.clear();
                } else if (content.startsWith("data:")) {
                    values.add(content.substring(5).replaceFirst("^ ", ""));
                } else if (content.startsWith("id:")) {
                    ids.add(content.substring(3).strip());
                }
            }
            OptionalLong last = seen.isEmpty() ? OptionalLong.empty() : OptionalLong.of(seen.get(seen.size() - 1));
            return new Naive(complete.toString(), progress, last);
        }

        private static OptionalLong number(String id) {
            return id.matches("\\d+") ? OptionalLong.of(Long.parseLong(id)) : OptionalLong.empty();
        }
    }

    @Property(seed = "41", tries = 1_000)
    void streamsOfAnyLinesAreSplitAsANaiveVersionDoesWhereverTheyAreRead(@ForAll @IntRange(max = 100_000) int seed) {
        Random random = new Random(seed);
        StringBuilder lines = new StringBuilder();
        for (int line = 0; line < 30; line++) {
            lines.append(LINES.get(random.nextInt(LINES.size()))).append(random.nextBoolean() ? "\n" : "\r\n");
        }
        String text = lines + "data: cut";
        EventSplitterProperties fresh = new EventSplitterProperties();
        int from = 0;
        while (from < text.length()) {
            int to = Math.min(text.length(), from + 1 + random.nextInt(20));
            fresh.add(text.substring(from, to));
            from = to;
        }
        Naive expected = Naive.of(text);
        assertEquals(expected.complete(), fresh.emitted.toString());
        assertEquals(expected.progressEvents(), fresh.progressEvents);
        assertEquals(expected.lastId(), fresh.lastId());
        assertTrue(fresh.splitter.hasPartialEvent());
        fresh.splitter.release();
    }

    private OptionalLong lastId() {
        return lastIds.isEmpty() ? OptionalLong.empty() : OptionalLong.of(lastIds.get(lastIds.size() - 1));
    }

    @Property(seed = "41", tries = 200)
    void eventsAreEmittedWholeWhereverTheStreamIsSplit(@ForAll @IntRange(max = 100_000) int seed) {
        Random random = new Random(seed);
        List<String> sent = new ArrayList<>();
        for (int id = 1; id <= 5; id++) {
            String end = random.nextBoolean() ? "\n" : "\r\n";
            sent.add("version: 3" + end + "id: " + id + end + "data: p" + id + end + end);
        }
        String text = String.join("", sent) + "id: 6\ndata: cut";
        EventSplitterProperties fresh = new EventSplitterProperties();
        int from = 0;
        while (from < text.length()) {
            int to = Math.min(text.length(), from + 1 + random.nextInt(20));
            int before = fresh.emitted.length();
            fresh.add(text.substring(from, to));
            String batch = fresh.emitted.substring(before);
            assertTrue(batch.isEmpty() || batch.endsWith("\n\n") || batch.endsWith("\r\n\r\n"), batch);
            from = to;
        }
        assertEquals(String.join("", sent), fresh.emitted.toString());
        assertEquals(5, fresh.progressEvents);
        assertEquals(OptionalLong.of(5), fresh.lastId());
        assertTrue(fresh.splitter.hasPartialEvent());
        fresh.splitter.release();
    }

    @Test
    void theIdOfEachEventIsParsed() {
        for (String event : List.of("id: 7\ndata: a\n\n", "data: none\n\n", "id:8\n\n")) {
            add(event);
        }
        assertEquals(List.of(7L, 8L), lastIds);
        assertFalse(splitter.hasPartialEvent());
    }

    @Test
    void theFirstIdFieldIsUsedAndTextThatLooksLikeOneIsIgnored() {
        for (String event : List.of("data: id: 4\nid: 5\nid: 6\n\n", "id: five\n\n", "i\nid\n\n", ": id: 9\n\n")) {
            add(event);
        }
        assertEquals(List.of(5L), lastIds);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                ": waiting\n\n",
                "\n",
                "\r\n",
                ": a\r\n: b\r\n\r\n",
                "id:\n\n",
                "x\n\n",
                "data:\n\n",
                "id: five\n\n"
            })
    void anEventWithoutDataOrANewIdIsNoProgress(String filler) {
        add("id: 1\ndata: a\n\n" + filler + filler);
        assertEquals(1, progressEvents);
    }

    @Test
    void fillerIsCountedFromTheLastEventThatMadeProgress() {
        splitter.append(Unpooled.copiedBuffer("\n\nid: 1\n\n: ab\n\nid: 1\n\n", StandardCharsets.UTF_8));
        EventBatch batch = splitter.takeComplete().orElseThrow();
        assertEquals(": ab\n\nid: 1\n\n".length(), batch.trailingFillerBytes());
        batch.release();
    }

    @ParameterizedTest
    @ValueSource(strings = {"id: 1\n\n", ": ab\n\nid: 1\ndata: b\n\n", "data: a\n\n"})
    void anEventWithDataOrANewIdIsProgress(String event) {
        add(event);
        assertEquals(1, progressEvents);
    }

    @Test
    void anEventThatIsTooLongIsRecognised() {
        add("id: 1\n\ndata: " + "x".repeat(MAX_EVENT_BYTES - "data: ".length()));
        assertFalse(splitter.isEventTooLong());
        add("x");
        assertTrue(splitter.isEventTooLong());
        splitter.release();
    }
}
