package io.figspan.gateway.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.figspan.core.event.Part;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.MarkerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes one line of JSON for each decision: {@code {"part","event", fields...}}. The volume is bounded: the lines of
 * each event are limited per second, and the next line of the event gives the number that were dropped. Lines on the
 * life of the process have no such limit, and a queue of their own. Confined to one thread.
 */
public final class DecisionLog {
    /** Lines of one event per second; above the request rate of one host at the design scale. */
    static final int MAX_LINES_PER_SECOND = 60;

    /** Name of the logger whose messages are JSON already. */
    static final String LOGGER_NAME = "figspan";

    /** Marks the lines on the life of the process. */
    static final Marker LIFECYCLE = MarkerFactory.getMarker("lifecycle");

    private static final Logger LOG = LoggerFactory.getLogger(LOGGER_NAME);
    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Window> windows = new HashMap<>();

    /** Rate-limit window of one event; it lasts a second. */
    private static final class Window {
        long startNanos = System.nanoTime();
        int lines;
        long dropped;
    }

    public Line info(Part part, String event) {
        return line(Level.INFO, part, event);
    }

    public Line warn(Part part, String event) {
        return line(Level.WARN, part, event);
    }

    /**
     * A line on the life of the process, or on a request that ends with it. The caller bounds the number of lines, for
     * example by one for each request.
     */
    public Line lifecycle(Part part, String event) {
        return LOG.isInfoEnabled() ? new Line(Level.INFO, part, event, true) : Line.DISCARDED;
    }

    private Line line(Level level, Part part, String event) {
        Window window = windows.computeIfAbsent(event, ignored -> new Window());
        long nowNanos = System.nanoTime();
        if (nowNanos - window.startNanos >= TimeUnit.SECONDS.toNanos(1)) {
            window.startNanos = nowNanos;
            window.lines = 0;
        }
        if (window.lines >= MAX_LINES_PER_SECOND || !LOG.isEnabledForLevel(level)) {
            window.dropped++;
            return Line.DISCARDED;
        }
        window.lines++;
        Line line = new Line(level, part, event, false);
        if (window.dropped > 0) {
            line.number("leftOutBefore", window.dropped);
            window.dropped = 0;
        }
        return line;
    }

    /** A line under construction; it is logged by {@link #write()}. */
    public static final class Line {
        private static final Line DISCARDED = new Line();

        /** Values of a list that a line holds, so that its length is bounded. */
        private static final int MAX_LISTED = 16;

        private final Level level;
        private final StringWriter text;
        private final JsonGenerator json;
        private final boolean isLifecycle;

        private Line() {
            this.level = Level.INFO;
            this.isLifecycle = false;
            this.text = null;
            this.json = null;
        }

        private Line(Level level, Part part, String event, boolean isLifecycle) {
            this.level = level;
            this.isLifecycle = isLifecycle;
            this.text = new StringWriter();
            try {
                this.json = JSON.createGenerator(text);
                json.writeStartObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            text("part", part.wireName());
            text("event", event);
        }

        public Line text(String name, Object value) {
            if (json != null) {
                try {
                    json.writeStringField(name, String.valueOf(value));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
            return this;
        }

        /** Writes the first of the values, and how many more there are. */
        public Line list(String name, List<?> values) {
            return values.size() <= MAX_LISTED
                    ? text(name, values)
                    : text(name, values.subList(0, MAX_LISTED)).number(name + "LeftOut", values.size() - MAX_LISTED);
        }

        public Line number(String name, long value) {
            if (json != null) {
                try {
                    json.writeNumberField(name, value);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
            return this;
        }

        public void write() {
            if (json == null) {
                return;
            }
            try {
                json.writeEndObject();
                json.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            LoggingEventBuilder logged = LOG.atLevel(level);
            if (isLifecycle) {
                logged = logged.addMarker(LIFECYCLE);
            }
            logged.log(text.toString());
        }
    }
}
