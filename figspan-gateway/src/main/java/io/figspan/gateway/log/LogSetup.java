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
 * Configures logging to standard output through bounded queues. When a queue is full, lines are dropped instead of
 * blocking. The lines on the life of the process have a queue of their own, so that those of a planned stop don't wait
 * behind thousands of others. It is code rather than a configuration file because that starts faster.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    /** Capacity of the queue in lines; a few seconds of output of a busy host. */
    private static final int QUEUE_CAPACITY_LINES = 2_048;

    /** Capacity of the queue of lines on the life of the process: one for each request that a planned stop ends. */
    private static final int LIFECYCLE_CAPACITY_LINES = 4_096;

    /** Maximum time that the exit of the process waits for the queued lines of one queue. */
    private static final int MAX_FLUSH_MS = 500;

    /**
     * Writes the queued lines, those on the life of the process first. Nothing can be logged afterwards. Returns in
     * time even if standard output is not read.
     *
     * @param maxMs longest time that it may take
     */
    public static void flush(long maxMs) throws InterruptedException {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            Thread flusher = new Thread(context::stop, "log-flush");
            flusher.setDaemon(true);
            flusher.start();
            flusher.join(Math.max(1, maxMs));
        }
    }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        AsyncAppender lifecycleQueue = queue(context, true, LIFECYCLE_CAPACITY_LINES);
        lifecycleQueue.setDiscardingThreshold(0);
        root.addAppender(lifecycleQueue);
        root.addAppender(queue(context, false, QUEUE_CAPACITY_LINES));
        context.getLogger("io.netty").setLevel(Level.ERROR);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** A queue stops its console at its end, so each has one of its own. */
    private static AsyncAppender queue(LoggerContext context, boolean isLifecycle, int capacityLines) {
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(capacityLines);
        queue.setNeverBlock(true);
        queue.setMaxFlushTime(MAX_FLUSH_MS);
        queue.addFilter(new LifecycleFilter(isLifecycle));
        queue.addAppender(console(context));
        queue.start();
        return queue;
    }

    private static ConsoleAppender<ILoggingEvent> console(LoggerContext context) {
        JsonLineEncoder encoder = new JsonLineEncoder();
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        return console;
    }
}
