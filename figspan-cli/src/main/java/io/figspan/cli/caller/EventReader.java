package io.figspan.cli.caller;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits server-sent events into id, type and data. One reader reads one response. */
final class EventReader {
    /** One event; a member that was not sent is empty. */
    record Event(String id, String type, String data) {}

    private Buffer pending = Buffer.buffer();

    List<Event> feed(Buffer chunk) {
        pending.appendBuffer(chunk);
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (int i = 0; i + 1 < pending.length(); i++) {
            if (pending.getByte(i) == '\n' && pending.getByte(i + 1) == '\n') {
                events.add(parse(pending.getString(start, i, StandardCharsets.UTF_8.name())));
                start = i + 2;
                i++;
            }
        }
        pending = pending.getBuffer(start, pending.length());
        return events;
    }

    private static Event parse(String text) {
        String id = "";
        String type = "";
        String data = "";
        for (String line : text.lines().toList()) {
            if (line.startsWith("id: ")) {
                id = line.substring("id: ".length());
            } else if (line.startsWith("event: ")) {
                type = line.substring("event: ".length());
            } else if (line.startsWith("data: ")) {
                data = line.substring("data: ".length());
            }
        }
        return new Event(id, type, data);
    }
}
