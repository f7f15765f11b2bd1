package io.figspan.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.figspan.core.time.HybridTimestamp;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** Merges the time lines of hosts in the order of the hybrid clock; the host id breaks ties. */
final class TimelineMerge {
    /** One event as hosts report it. */
    record Event(HybridTimestamp timestamp, String host, String part, String kind, String requestId, String text) {
        static Event fromJson(JsonNode node) {
            return new Event(
                    new HybridTimestamp(
                            node.path("wallMs").asLong(), node.path("counter").asInt()),
                    node.path("host").asText(),
                    node.path("part").asText(),
                    node.path("kind").asText(),
                    node.path("requestId").asText(""),
                    node.path("text").asText(""));
        }

        ObjectNode toJson() {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("wallMs", timestamp.wallMs())
                    .put("counter", timestamp.counter())
                    .put("host", host)
                    .put("part", part)
                    .put("kind", kind)
                    .put("requestId", requestId)
                    .put("text", text);
        }
    }

    private static final Comparator<Event> ORDER =
            Comparator.comparing(Event::timestamp).thenComparing(Event::host);

    private TimelineMerge() {}

    /** Events of all documents that match, oldest first. */
    static List<Event> merge(List<JsonNode> documents, Predicate<Event> filter) {
        List<Event> events = new ArrayList<>();
        for (JsonNode document : documents) {
            for (JsonNode node : document.path("events")) {
                Event event = Event.fromJson(node);
                if (filter.test(event)) {
                    events.add(event);
                }
            }
        }
        events.sort(ORDER);
        return events;
    }

    /** Keeps the newest events. */
    static List<Event> last(List<Event> events, int count) {
        return events.subList(Math.max(0, events.size() - count), events.size());
    }
}
