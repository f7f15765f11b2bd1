package io.figspan.host.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.jackson.DatabindCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits an engine's server-sent events. One parser reads one response. */
final class SseParser {
    /** Longest event accepted; a token event has about 100 bytes. */
    private static final int MAX_EVENT_BYTES = 65_536;

    private static final String DATA = "data: ";

    private Buffer pending = Buffer.buffer();

    /** The events that {@code chunk} completes, in order. */
    List<EngineEvent> feed(Buffer chunk) {
        pending.appendBuffer(chunk);
        List<EngineEvent> events = new ArrayList<>();
        int start = 0;
        for (int i = 0; i + 1 < pending.length(); i++) {
            if (pending.getByte(i) == '\n' && pending.getByte(i + 1) == '\n') {
                events.add(parse(pending.getString(start, i, StandardCharsets.UTF_8.name())));
                start = i + 2;
                i++;
            }
        }
        pending = pending.getBuffer(start, pending.length());
        if (pending.length() > MAX_EVENT_BYTES) {
            throw invalid("event is longer than " + MAX_EVENT_BYTES + " bytes", null);
        }
        return events;
    }

    private static EngineEvent parse(String event) {
        if (!event.startsWith(DATA)) {
            return new EngineEvent.Heartbeat();
        }
        try {
            EngineMessages.StreamData data =
                    DatabindCodec.mapper().readValue(event.substring(DATA.length()), EngineMessages.StreamData.class);
            return data.text() != null
                    ? new EngineEvent.Token(data.stream(), data.offset(), data.text())
                    : new EngineEvent.Ended(data.stream(), data.offset(), data.done(), data.error());
        } catch (JsonProcessingException e) {
            throw invalid(e.getOriginalMessage(), e);
        }
    }

    private static FigspanException invalid(String detail, Throwable cause) {
        return new FigspanException(ProblemKind.BACKEND_FAILED, detail, Location.of("engine stream"), cause);
    }
}
