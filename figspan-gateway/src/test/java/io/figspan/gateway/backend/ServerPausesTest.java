package io.figspan.gateway.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.BackendResponse;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against messages to a server that wants none, and against servers that are left out for too long. */
class ServerPausesTest {
    private static final BackendServerId SERVER = BackendServerId.of("s-1");
    private static final BackendIncarnation PROCESS = new BackendIncarnation(SERVER, 1);

    private final ServerPauses pauses = new ServerPauses(new DecisionLog());

    private static long atMs(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms) - Long.MAX_VALUE / 2;
    }

    private void rejected(long atMs, int status, OptionalLong retryAfterMs) {
        BackendResponse response = new BackendResponse(
                "a-1",
                status,
                true,
                true,
                false,
                Optional.empty(),
                OptionalDouble.empty(),
                false,
                retryAfterMs,
                OptionalLong.empty(),
                Optional.empty());
        pauses.responded(PROCESS, response, atMs(atMs));
    }

    @Test
    void theServerAcceptsRequestsAgainAtTheEndOfTheTime() {
        rejected(0, 503, OptionalLong.of(2_000));

        assertFalse(pauses.admits(SERVER, atMs(1_999)));
        assertEquals(atMs(2_000), pauses.reopensNanos(SERVER, atMs(1_999)));
        assertTrue(pauses.admits(SERVER, atMs(2_000)));
        assertTrue(pauses.admits(BackendServerId.of("s-2"), atMs(1_999)));
    }

    @Test
    void aLaterRejectionCanOnlyLengthenTheTime() {
        rejected(0, 503, OptionalLong.of(2_000));
        rejected(100, 503, OptionalLong.of(500));
        assertFalse(pauses.admits(SERVER, atMs(1_999)));

        rejected(200, 503, OptionalLong.of(3_000));
        assertFalse(pauses.admits(SERVER, atMs(3_199)));
    }

    @Test
    void anotherStatusAndNoTimeMeanNothing() {
        rejected(0, 500, OptionalLong.of(2_000));
        rejected(0, 503, OptionalLong.of(0));
        rejected(0, 503, OptionalLong.empty());

        assertTrue(pauses.admits(SERVER, atMs(0)));
    }

    @Test
    void twoMessagesAboutMemoryInUseAreSentAfterTheFirstHalfSecond() {
        rejected(0, 503, OptionalLong.of(9_000));

        assertTrue(pauses.tryMessage(SERVER, atMs(100)));
        assertTrue(pauses.tryMessage(SERVER, atMs(499)));
        assertTrue(pauses.tryMessage(SERVER, atMs(600)));
        assertTrue(pauses.tryMessage(SERVER, atMs(700)));
        assertFalse(pauses.tryMessage(SERVER, atMs(800)));
        assertTrue(pauses.tryMessage(SERVER, atMs(9_000)));
    }

    @Test
    void aNewPauseAllowsMessagesAgain() {
        rejected(0, 503, OptionalLong.of(1_000));
        assertTrue(pauses.tryMessage(SERVER, atMs(600)));
        assertTrue(pauses.tryMessage(SERVER, atMs(700)));

        rejected(5_000, 503, OptionalLong.of(1_000));

        assertTrue(pauses.tryMessage(SERVER, atMs(5_600)));
    }

    @Test
    void theTableIsBounded() {
        for (int number = 0; number <= ServerPauses.MAX_PAUSES; number++) {
            BackendResponse response = new BackendResponse(
                    "a-1",
                    503,
                    true,
                    true,
                    false,
                    Optional.empty(),
                    OptionalDouble.empty(),
                    false,
                    OptionalLong.of(1_000),
                    OptionalLong.empty(),
                    Optional.empty());
            pauses.responded(new BackendIncarnation(BackendServerId.of("s-" + number), 1), response, atMs(0));
        }

        assertTrue(pauses.admits(BackendServerId.of("s-0"), atMs(1)));
        assertFalse(pauses.admits(BackendServerId.of("s-1"), atMs(1)));
    }
}
