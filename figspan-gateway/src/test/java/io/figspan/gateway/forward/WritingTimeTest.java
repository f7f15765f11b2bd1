package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against one long pause between two events that clears a request which crashes servers. */
class WritingTimeTest {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final WritingTime time = new WritingTime();

    @BeforeEach
    void firstEvent() {
        time.restart(SECOND_NANOS);
    }

    @Test
    void aLongPauseBetweenTwoEventsProvesNothing() {
        time.eventArrived(60 * SECOND_NANOS);

        assertFalse(time.isProvenSound());
    }

    @Test
    void threeSecondsOfEventsProveThatARequestIsSound() {
        for (int event = 1; event <= 29; event++) {
            time.eventArrived(SECOND_NANOS + event * SECOND_NANOS / 10);
        }
        assertFalse(time.isProvenSound());

        time.eventArrived(4 * SECOND_NANOS);

        assertTrue(time.isProvenSound());
    }

    @Test
    void aNewResponseStartsAnew() {
        for (int event = 1; event <= 30; event++) {
            time.eventArrived(SECOND_NANOS + event * SECOND_NANOS / 10);
        }

        time.restart(5 * SECOND_NANOS);

        assertFalse(time.isProvenSound());
    }
}
