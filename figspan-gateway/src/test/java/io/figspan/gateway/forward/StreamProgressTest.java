package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.http.EventBatch;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against streams of filler that go on, and against sound streams with comments that are ended. */
class StreamProgressTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_GAP_NANOS = 12 * SECOND;

    private final StreamProgress progress = new StreamProgress(MAX_GAP_NANOS);

    @BeforeEach
    void begin() {
        progress.restart(0);
    }

    private static Optional<EventBatch> events(long count, int trailingFillerBytes) {
        return Optional.of(new EventBatch(Unpooled.EMPTY_BUFFER, count, OptionalLong.empty(), trailingFillerBytes));
    }

    @Test
    void aStreamThatSendsOnlyFillerIsEndedOnceItsCallerWaitsNoLonger() {
        for (long second = 1; second <= 12; second++) {
            assertEquals(Optional.empty(), progress.received(events(0, 3), second * SECOND));
        }
        assertTrue(progress.received(events(0, 3), 13 * SECOND).isPresent());
    }

    @Test
    void aStreamWhoseEventNeverEndsIsEndedOnceItsCallerWaitsNoLonger() {
        assertEquals(Optional.empty(), progress.received(Optional.empty(), 12 * SECOND));
        assertTrue(progress.received(Optional.empty(), 13 * SECOND).isPresent());
    }

    @Test
    void aSoundStreamWithACommentNowAndThenGoesOn() {
        for (long second = 1; second <= 10_000; second++) {
            boolean isComment = second % 5 != 0;
            Optional<EventBatch> received = isComment ? events(0, 20) : events(1, 20);
            assertEquals(Optional.empty(), progress.received(received, second * SECOND), "after " + second + " s");
        }
    }

    @Test
    void moreFillerThanASoundStreamHasEndsTheStreamAtOnce() {
        assertEquals(Optional.empty(), progress.received(events(1, StreamProgress.MAX_FILLER_BYTES), 1));
        assertTrue(progress.received(events(0, 1), 2).isPresent());
    }

    @Test
    void aPauseForASlowCallerIsNoGap() {
        progress.restart(60 * SECOND);
        assertEquals(Optional.empty(), progress.received(events(0, 3), 61 * SECOND));
    }
}
