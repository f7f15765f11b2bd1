package io.figspan.gateway.log;

import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LifecycleLinesTest {
    private static final int REFUSED_REQUESTS = 1_100;

    /** Blocks the first write, as a full pipe does, until it is released. */
    private static final class SlowReader extends OutputStream {
        private final CountDownLatch released = new CountDownLatch(1);
        private final ByteArrayOutputStream read = new ByteArrayOutputStream();

        @Override
        public void write(int value) {
            awaitReleased();
            read.write(value);
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            awaitReleased();
            read.write(bytes, from, length);
        }

        /** The appender interrupts its worker at its end; a blocked write goes on. */
        private void awaitReleased() {
            boolean isReleased = false;
            while (!isReleased) {
                try {
                    isReleased = released.await(1, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    isReleased = false;
                }
            }
        }
    }

    /** Guards against the loss of the last line when a stop refuses more requests than the queue holds lines. */
    @Test
    void theLastLineOfAStopIsWrittenAfterManyRefusals() throws Exception {
        SlowReader reader = new SlowReader();
        PrintStream before = System.out;
        System.setOut(new PrintStream(reader, true, StandardCharsets.UTF_8));
        try {
            LoggerContext context = new LoggerContext();
            context.setMDCAdapter(new LogbackMDCAdapter());
            LogSetup setup = new LogSetup();
            setup.setContext(context);
            setup.configure(context);
            Logger log = context.getLogger(DecisionLog.LOGGER_NAME);
            for (int number = 0; number < REFUSED_REQUESTS; number++) {
                log.info(DecisionLog.LIFECYCLE, "{\"event\":\"refusedByStop\",\"request\":\"" + number + "\"}");
            }
            log.info(DecisionLog.LIFECYCLE, "{\"event\":\"stopped\"}");
            reader.released.countDown();
            TimeUnit.SECONDS.sleep(1);
            context.stop();
        } finally {
            System.setOut(before);
        }

        String written = reader.read.toString(StandardCharsets.UTF_8);
        assertTrue(written.contains("refusedByStop"), "nothing was written");
        assertTrue(written.contains("stopped"), "the last line was lost");
    }
}
