package io.figspan.policy.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.policy.placing.PromptLengths;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RequestDurationsTest {
    private static final long TIMEOUT_MS = 15_000;

    private final RequestDurations durations = new RequestDurations();

    private static RequestProfile plain(String route, boolean mayRepeat) {
        return new RequestProfile(route, Optional.empty(), mayRepeat, TIMEOUT_MS);
    }

    private static RequestProfile prompt(long tokens) {
        PromptLengths lengths = new PromptLengths(tokens, 1_000, OptionalInt.of(100));
        return new RequestProfile("prompts", Optional.of(lengths), true, TIMEOUT_MS);
    }

    private void record(RequestProfile request, int times, long durationMs) {
        for (int i = 0; i < times; i++) {
            durations.record(request, TimeUnit.MILLISECONDS.toNanos(durationMs));
        }
    }

    /** Guards against the estimate of short prompts for long ones, which take a hundred times as long. */
    @Test
    void longPromptsAreExpectedToTakeLongerThanShortOnes() {
        record(prompt(1_000), 20, 400);
        record(prompt(180_000), 20, 6_000);

        assertTrue(durations.expectedMs(prompt(1_000)) <= 600);
        assertTrue(durations.expectedMs(prompt(180_000)) >= 6_000);
    }

    /** Guards against a long prompt that is taken for a short one because none of its size was seen. */
    @Test
    void aPromptThatIsLongerThanAllOthersIsExpectedToTakeLongerInProportion() {
        record(prompt(16_000), 20, 800);

        assertTrue(durations.expectedMs(prompt(160_000)) >= 6_400);
        assertTrue(durations.expectedMs(prompt(1_000_000)) <= TIMEOUT_MS);
    }

    /** Guards against refusals of short prompts, of which most are known to be longer. */
    @Test
    void aPromptThatIsShorterThanAllOthersIsExpectedToTakeAsLongAsTheShortest() {
        record(prompt(16_000), 20, 800);
        record(prompt(160_000), 20, 6_000);

        assertEquals(1_000, durations.expectedMs(prompt(2_000)));
    }

    /** Guards against one slow answer that makes a host refuse all requests of its route. */
    @Test
    void oneSlowAnswerCountsOnlyForRequestsThatMayNotBeRepeated() {
        record(plain("read", true), 30, 20);
        record(plain("read", true), 1, 9_000);

        assertEquals(25, durations.expectedMs(plain("read", true)));
        assertTrue(durations.expectedMs(plain("read", false)) >= 9_000);
    }

    /** Guards against estimates from a time in which the servers were faster. */
    @Test
    void onlyTheLatestDurationsCount() {
        record(plain("read", true), 100, 20);
        record(plain("read", true), RequestDurations.WINDOW_SIZE, 3_000);
        assertTrue(durations.expectedMs(plain("read", true)) >= 3_000);

        record(plain("read", true), RequestDurations.WINDOW_SIZE, 20);
        assertEquals(25, durations.expectedMs(plain("read", false)));
    }

    /** Guards against a first lucky answer that stands for all later ones. */
    @Test
    void fewDurationsHaveALargerMargin() {
        record(plain("read", true), 1, 1_000);

        assertEquals(2_000, durations.expectedMs(plain("read", true)));
    }

    /** Guards against requests that may run once, are accepted without knowledge, and are cut off. */
    @Test
    void withoutKnowledgeARequestThatMayNotBeRepeatedIsExpectedToTakeItsTimeout() {
        assertEquals(TIMEOUT_MS, durations.expectedMs(plain("order", false)));
        assertEquals(RequestDurations.DEFAULT_MS, durations.expectedMs(plain("read", true)));
        assertEquals(500, durations.expectedMs(new RequestProfile("read", Optional.empty(), true, 500)));
    }

    /** Guards against memory that grows with each changed configuration. */
    @Test
    void routesThatAreRemovedAreForgottenAndTheirNumberIsBounded() {
        for (int number = 0; number < 2 * RequestDurations.MAX_ROUTES; number++) {
            record(plain("route-" + number, true), 20, 10);
        }
        int last = 2 * RequestDurations.MAX_ROUTES - 1;
        assertEquals(RequestDurations.DEFAULT_MS, durations.expectedMs(plain("route-" + last, true)));

        durations.retainRoutes(Set.of("route-1"));
        assertEquals(13, durations.expectedMs(plain("route-1", true)));
        assertEquals(RequestDurations.DEFAULT_MS, durations.expectedMs(plain("route-2", true)));
        record(plain("route-" + last, true), 20, 10);
        assertEquals(13, durations.expectedMs(plain("route-" + last, true)));
    }
}
