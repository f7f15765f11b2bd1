package io.figspan.gateway.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.LoggerFactory;

/**
 * Configures logging to standard output through a bounded queue. When the queue is full, lines are dropped instead of
 * blocking. It is code rather than a configuration file because that starts faster.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    /** Capacity of the queue in lines; a few seconds of output of a busy host. */
    private static final int QUEUE_CAPACITY_LINES = 2_048;

    /** Maximum time that the exit of the process waits for the queued lines. */
    private static final int MAX_FLUSH_MS = 150;

    /** Writes the queued lines. Nothing can be logged afterwards. */
    public static void flush() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        JsonLineEncoder encoder = new JsonLineEncoder();
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE_CAPACITY_LINES);
        queue.setNeverBlock(true);
        queue.setMaxFlushTime(MAX_FLUSH_MS);
        queue.addAppender(console);
        queue.start();
        context.getLogger("io.netty").setLevel(Level.ERROR);
        context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).setLevel(Level.INFO);
        context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(queue);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
