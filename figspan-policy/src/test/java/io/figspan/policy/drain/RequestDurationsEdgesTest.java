package io.figspan.policy.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.ServiceId;
import io.figspan.policy.placing.PromptLengths;
import io.figspan.settings.gateway.RequestKind;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against bounds below what the known requests show. */
class RequestDurationsEdgesTest {
    private static final long TIMEOUT_MS = 15_000;
    private static final ServiceId SERVICE = ServiceId.of("service");

    private final RequestDurations durations = new RequestDurations();

    private static RequestProfile prompt(long tokens) {
        return request(RequestKind.IDEMPOTENT, tokens, 0, OptionalInt.empty());
    }

    private static RequestProfile stream(long tokens, long maxOutputTokens, int tokensPerEvent) {
        return request(RequestKind.STREAM, tokens, maxOutputTokens, OptionalInt.of(tokensPerEvent));
    }

    private static RequestProfile request(RequestKind kind, long tokens, long maxOutputTokens, OptionalInt perEvent) {
        PromptLengths lengths = new PromptLengths(tokens, maxOutputTokens, OptionalInt.empty());
        return new RequestProfile(SERVICE, kind, Optional.of(lengths), perEvent, TIMEOUT_MS);
    }

    private static RequestTiming timing(long totalMs) {
        return RequestTiming.withoutEvents(nanos(totalMs));
    }

    private static RequestTiming timing(long totalMs, long firstMs, long lastMs, long events) {
        return new RequestTiming(
                nanos(totalMs), Optional.of(new RequestTiming.Events(nanos(firstMs), nanos(lastMs), events)));
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private void record(RequestProfile request, RequestTiming timing) {
        for (int i = 0; i < 20; i++) {
            durations.recordAnswered(request, timing);
        }
    }

    private void assertExpected(RequestProfile request, long leastMs) {
        long expectedMs = durations.expectedMs(request);
        assertTrue(expectedMs >= leastMs, "expected " + expectedMs + " ms instead of " + leastMs);
    }

    /** Guards against a bound from smaller prompts while a prompt of the same size has lasted much longer. */
    @Test
    void aRequestThatHasNotEndedCountsAlsoWhenNoneOfItsSizeHasEnded() {
        record(prompt(4_000), timing(100));
        durations.recordUnfinished(prompt(16_000), timing(6_000));

        assertExpected(prompt(16_000), 6_000);
    }

    /** Guards against a long prompt that is expected to end sooner than a shorter one. */
    @Test
    void aLongerPromptIsNotExpectedToEndSoonerThanAShorterOne() {
        record(prompt(4_000), timing(100));
        record(prompt(16_000), timing(200));
        durations.recordUnfinished(prompt(4_000), timing(6_000));

        assertExpected(prompt(16_000), durations.expectedMs(prompt(4_000)));
    }

    /** Guards against one slow request of a rare size that makes a host refuse all larger ones for good. */
    @Test
    void aSlowRequestOfARareSizeCountsNoLongerThanThousandsOfOthers() {
        record(prompt(16_000), timing(100));
        durations.recordUnfinished(prompt(8_000), timing(TIMEOUT_MS));
        assertExpected(prompt(16_000), TIMEOUT_MS);

        for (int answers = 0; answers < 2 * SizedDurations.MAX_AGE_ANSWERS; answers++) {
            durations.recordAnswered(prompt(16_000), timing(100));
        }
        assertEquals(125, durations.expectedMs(prompt(16_000)));
    }

    /** Guards against servers that stop writing after the first event of each stream. */
    @Test
    void aStreamThatStallsAfterItsFirstEventRaisesTheEstimate() {
        record(stream(5_000, 1_000, 50), timing(1_060, 300, 1_060, 20));
        durations.recordUnfinished(stream(5_000, 1_000, 50), timing(5_000, 300, 300, 1));

        assertExpected(stream(5_000, 1_000, 50), 5_000);
    }

    /** Guards against the time of the smallest prompt of a size class for the largest one. */
    @Test
    void theReadingTimeGrowsWithTheSquareOfTheLengthWithinASizeClass() {
        record(stream(132_000, 50, 50), timing(2_200, 2_200, 2_200, 1));

        assertExpected(stream(260_000, 50, 50), 4 * 2_200);
    }

    /** Guards against the time of small events for larger ones after a change of the service's profile. */
    @Test
    void theTimeOfAnEventGrowsWithItsTokens() {
        record(stream(5_000, 1_000, 1), timing(2_298, 300, 2_298, 1_000));

        assertExpected(stream(5_000, 1_000, 80), 300 + 999 * 2);
    }

    /** Guards against an overflow that makes the longest stream the shortest. */
    @Test
    void aStreamOfWhichTheCallerAllowsAnyLengthIsExpectedToTakeItsTimeout() {
        record(stream(5_000, 1_000, 50), timing(1_060, 300, 1_060, 20));

        assertExpected(stream(5_000, Long.MAX_VALUE, 50), TIMEOUT_MS);
    }
}
