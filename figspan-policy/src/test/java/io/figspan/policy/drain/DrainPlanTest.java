package io.figspan.policy.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class DrainPlanTest {
    private static final long GRACE_MS = 8_000;

    /** A start near the overflow of the monotonic clock. */
    private static final long BEGIN_NANOS = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(3);

    private final DrainPlan plan = new DrainPlan(BEGIN_NANOS, GRACE_MS);

    private static long at(long ms) {
        return BEGIN_NANOS + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Guards against requests that are accepted and cut off at the end of the grace period. */
    @ParameterizedTest
    @ValueSource(longs = {0, 2_000, 4_000, 6_000, 7_500})
    void aRequestThatFitsEndsBeforeTheLastAnswers(long arrivalMs) {
        for (long expectedMs = 0; expectedMs < 2 * GRACE_MS; expectedMs += 10) {
            if (plan.fits(expectedMs, 0, at(arrivalMs))) {
                assertFalse(plan.isTimeForLastAnswers(0, at(arrivalMs + expectedMs)));
            }
        }
    }

    /** Guards against a request that is accepted, and ended earlier because others have come meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {0, 10, 100, 500})
    void aRequestThatFitsStillDoesWhenTwiceAsManyAreInProgressAtItsEnd(long inProgress) {
        long arrivalMs = 3_100;
        for (long expectedMs = 0; expectedMs < GRACE_MS; expectedMs += 10) {
            if (plan.fits(expectedMs, inProgress, at(arrivalMs))) {
                assertFalse(plan.isTimeForLastAnswers(2 * inProgress, at(arrivalMs + expectedMs)));
            }
        }
    }

    /** Guards against a plan that turns away what it could serve. */
    @Test
    void shortRequestsFitUntilTheLastAnswers() {
        assertTrue(plan.fits(3_500, 300, at(2_500)));
        assertTrue(plan.fits(500, 10, at(6_500)));
        assertFalse(plan.fits(500, 10, at(7_000)));
    }

    /** Guards against answers that a slow host has no time left to write. */
    @Test
    void moreRequestsInProgressAreAnsweredEarlier() {
        long fewMs = firstMs(1);
        long manyMs = firstMs(300);
        assertTrue(fewMs - manyMs >= 500, fewMs + " and " + manyMs);
        assertTrue(firstMs(1_000_000) >= GRACE_MS / 2);
    }

    private long firstMs(int inProgress) {
        return IntStream.range(0, (int) GRACE_MS)
                .filter(ms -> plan.isTimeForLastAnswers(inProgress, at(ms)))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against requests that are ended although most of the grace period is left for them. */
    @ParameterizedTest
    @CsvSource({"2000, 1", "2000, 1000", "8000, 1", "8000, 50", "8000, 200", "8000, 1000", "30000, 1000", "30000, 9000"
    })
    void theLastAnswersAreNotGivenBeforeTheLastSixthOfTheGracePeriod(long graceMs, int inProgress) {
        DrainPlan other = new DrainPlan(BEGIN_NANOS, graceMs);
        long lastSixthMs = graceMs - graceMs / 6;

        assertFalse(other.isTimeForLastAnswers(inProgress, at(lastSixthMs - 1)));
    }

    /** Guards against a process that is killed before it has exited by itself. */
    @ParameterizedTest
    @ValueSource(longs = {100, 1_000, 2_000, 8_000, 60_000})
    void theLastAnswersComeBeforeTheExitAndTheExitBeforeTheKill(long graceMs) {
        DrainPlan other = new DrainPlan(BEGIN_NANOS, graceMs);
        long lastAnswersMs = -1;
        long exitMs = -1;
        for (long ms = graceMs; ms >= 0; ms--) {
            lastAnswersMs = other.isTimeForLastAnswers(50, at(ms)) ? ms : lastAnswersMs;
            exitMs = other.mustExit(at(ms)) ? ms : exitMs;
        }
        assertTrue(graceMs / 2 <= lastAnswersMs, "last answers at " + lastAnswersMs);
        assertTrue(lastAnswersMs < exitMs && exitMs < graceMs, lastAnswersMs + " and " + exitMs);
        assertTrue(other.acceptsConnections(at(0)));
        assertFalse(other.acceptsConnections(at(lastAnswersMs)));
    }

    /** Guards against a process that was paused, whose timer comes late, and that goes on as if there were time. */
    @Test
    void nothingFitsAndNothingIsAcceptedAfterTheEnd() {
        long lateNanos = at(10 * GRACE_MS);
        assertFalse(plan.fits(0, 0, lateNanos));
        assertFalse(plan.acceptsConnections(lateNanos));
        assertTrue(plan.isTimeForLastAnswers(0, lateNanos));
        assertTrue(plan.mustExit(lateNanos));
    }

    /** Guards against an exit between the last accepted connection and its request. */
    @Test
    void theProcessWaitsForTheRequestsOfTheLastConnections() {
        long ms = IntStream.range(0, (int) GRACE_MS)
                .filter(candidate -> !plan.acceptsConnections(at(candidate)))
                .findFirst()
                .orElseThrow();
        assertFalse(plan.haveLastRequestsArrived(at(ms), at(ms + 100)));
        assertTrue(plan.haveLastRequestsArrived(at(ms), at(ms + 1_000)));
    }

    /** Guards against callers that are refused together and return together to one host. */
    @Test
    void callersThatAreRefusedTogetherReturnSpreadOut() {
        SplittableRandom random = new SplittableRandom(7);
        long[] delays = IntStream.range(0, 200)
                .mapToLong(caller -> DrainPlan.retryAfterMs(200, random))
                .sorted()
                .toArray();
        long largestBatch = IntStream.range(0, delays.length)
                .mapToLong(first -> IntStream.range(first, delays.length)
                        .filter(other -> delays[other] < delays[first] + 20)
                        .count())
                .max()
                .orElseThrow();
        assertTrue(largestBatch <= 25, "returned within 20 ms: " + largestBatch);
        assertTrue(delays[0] > 0);
        assertTrue(delays[delays.length - 1] < 1_000);
    }

    /** Guards against a process that waits for engines that don't answer. */
    @Test
    void theWaitForReleasesOfMemoryIsBounded() {
        assertFalse(DrainPlan.hasWaitedForReleases(at(0), at(100)));
        assertTrue(DrainPlan.hasWaitedForReleases(at(0), at(1_000)));
        assertEquals(BEGIN_NANOS, plan.beginNanos());
    }
}
