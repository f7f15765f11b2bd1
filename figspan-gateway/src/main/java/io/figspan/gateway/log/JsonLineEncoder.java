package io.figspan.gateway.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/**
 * Encodes each log event as one line of JSON that begins with the timestamp and the level. Messages of {@link
 * DecisionLog} are JSON already; messages of other loggers, such as those of libraries, become a text field.
 */
final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
    private static final byte[] EMPTY = new byte[0];

    @Override
    public byte[] headerBytes() {
        return EMPTY;
    }

    @Override
    public byte[] footerBytes() {
        return EMPTY;
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        StringBuilder line = new StringBuilder(256);
        line.append("{\"at\":\"").append(Instant.ofEpochMilli(event.getTimeStamp()));
        line.append("\",\"level\":\"").append(event.getLevel()).append("\",");
        String message = event.getFormattedMessage();
        if (event.getLoggerName().equals(DecisionLog.LOGGER_NAME)) {
            line.append(message, 1, message.length());
        } else {
            line.append("\"event\":\"text\",\"logger\":\"").append(event.getLoggerName());
            line.append("\",\"text\":\"").append(quoted(message)).append('"');
            appendCause(line, event.getThrowableProxy());
            line.append('}');
        }
        return line.append('\n').toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void appendCause(StringBuilder line, IThrowableProxy cause) {
        if (cause != null) {
            String text = cause.getClassName() + ": " + cause.getMessage();
            line.append(",\"cause\":\"").append(quoted(text)).append('"');
        }
    }

    private static char[] quoted(String text) {
        return JsonStringEncoder.getInstance().quoteAsString(String.valueOf(text));
    }
}
