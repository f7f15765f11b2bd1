package io.figspan.policy.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.ServiceId;
import io.figspan.policy.drain.DurationEstimate.Basis;
import io.figspan.policy.placing.PromptLengths;
import io.figspan.settings.gateway.RequestKind;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class RequestDurationsTest {
    private static final long TIMEOUT_MS = 15_000;
    private static final ServiceId SERVICE = ServiceId.of("service");
    private static final int TOKENS_PER_EVENT = 50;

    private final RequestDurations durations = new RequestDurations();

    private static RequestProfile plain(String service, RequestKind kind) {
        return new RequestProfile(ServiceId.of(service), kind, Optional.empty(), OptionalInt.empty(), TIMEOUT_MS);
    }

    private static RequestProfile read(String service) {
        return plain(service, RequestKind.IDEMPOTENT);
    }

    /** A prompt that is answered as a whole. */
    private static RequestProfile prompt(long tokens) {
        return request(RequestKind.IDEMPOTENT, tokens, 1_000, OptionalInt.empty());
    }

    private static RequestProfile stream(long tokens, int events) {
        return request(RequestKind.STREAM, tokens, events * TOKENS_PER_EVENT, OptionalInt.of(TOKENS_PER_EVENT));
    }

    private static RequestProfile request(RequestKind kind, long tokens, int maxOutputTokens, OptionalInt perEvent) {
        PromptLengths lengths = new PromptLengths(tokens, maxOutputTokens, OptionalInt.of(10));
        return new RequestProfile(SERVICE, kind, Optional.of(lengths), perEvent, TIMEOUT_MS);
    }

    private void record(RequestProfile request, int times, long durationMs) {
        for (int i = 0; i < times; i++) {
            durations.recordAnswered(request, RequestTiming.withoutEvents(nanos(durationMs)));
        }
    }

    private void recordStream(RequestProfile request, int times, long firstMs, long gapMs, int events) {
        for (int i = 0; i < times; i++) {
            durations.recordAnswered(request, streamTiming(firstMs, gapMs, events));
        }
    }

    private static RequestTiming streamTiming(long firstMs, long gapMs, int events) {
        long lastNanos = nanos(firstMs + gapMs * (events - 1));
        return new RequestTiming(lastNanos, Optional.of(new RequestTiming.Events(nanos(firstMs), lastNanos, events)));
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
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
        assertEquals(Basis.SMALLER_SIZE, durations.estimate(prompt(160_000)).basis());
    }

    /** Guards against refusals of short prompts, of which most are known to be longer. */
    @Test
    void aPromptThatIsShorterThanAllOthersIsExpectedToTakeAsLongAsTheShortest() {
        record(prompt(16_000), 20, 800);
        record(prompt(160_000), 20, 6_000);

        assertEquals(1_000, durations.expectedMs(prompt(2_000)));
        assertEquals(Basis.LARGER_SIZE, durations.estimate(prompt(2_000)).basis());
    }

    /** Guards against a stopping host that accepts what one in twenty of its requests shows to be too long. */
    @ParameterizedTest
    @EnumSource(
            value = RequestKind.class,
            names = {"IDEMPOTENT", "NON_IDEMPOTENT"})
    void oneSlowAnswerCountsUntilItIsOld(RequestKind kind) {
        record(plain("a", kind), 30, 20);
        record(plain("a", kind), 1, 9_000);
        record(plain("a", kind), RecentMaximum.WINDOW_SIZE / 2, 20);
        assertTrue(durations.expectedMs(plain("a", kind)) >= 9_000);

        record(plain("a", kind), RecentMaximum.WINDOW_SIZE, 20);
        assertEquals(25, durations.expectedMs(plain("a", kind)));
    }

    /** Guards against estimates from a time in which the servers were faster. */
    @Test
    void onlyTheLatestDurationsCount() {
        record(read("a"), 100, 20);
        record(read("a"), 1, 3_000);
        assertTrue(durations.expectedMs(read("a")) >= 3_000);

        record(read("a"), RecentMaximum.WINDOW_SIZE, 20);
        assertEquals(25, durations.expectedMs(read("a")));
    }

    /** Guards against a first lucky answer that stands for all later ones. */
    @Test
    void withFewAnswersARequestMayTakeAPartOfItsTimeoutThatShrinksWithEach() {
        record(read("a"), 1, 20);
        assertEquals(TIMEOUT_MS * 7 / 8, durations.expectedMs(read("a")));

        record(read("a"), 3, 20);
        assertEquals(TIMEOUT_MS / 2, durations.expectedMs(read("a")));

        record(read("a"), 4, 20);
        assertEquals(25, durations.expectedMs(read("a")));
    }

    /** Guards against a size of which few requests were seen and that is taken for well known. */
    @Test
    void fewDurationsOfASizeHaveALargerMargin() {
        record(prompt(1_000), 8, 20);
        record(prompt(180_000), 1, 1_000);

        assertEquals(2_000, durations.expectedMs(prompt(180_000)));
    }

    /** Guards against requests that are accepted without knowledge and are cut off. */
    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void withoutKnowledgeARequestIsExpectedToTakeItsTimeout(RequestKind kind) {
        RequestProfile request = plain("a", kind);

        assertEquals(new DurationEstimate(TIMEOUT_MS, Basis.NOTHING), durations.estimate(request));
    }

    /** Guards against a guess for a kind of request whose service is only known from another kind. */
    @Test
    void durationsOfOneKindAndServiceSayNothingAboutOthers() {
        record(read("a"), 100, 20);

        assertEquals(TIMEOUT_MS, durations.expectedMs(plain("a", RequestKind.NON_IDEMPOTENT)));
        assertEquals(TIMEOUT_MS, durations.expectedMs(read("b")));
    }

    /** Guards against a stream that is taken for one of usual length although its caller allows many more tokens. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 10})
    void aStreamIsExpectedToTakeAsLongAsTheTokensThatItsCallerAllows(int times) {
        recordStream(stream(5_000, 20), 50, 300, 40, 20);

        long longestMs = 300 + 40 * (20L * times - 1);
        assertTrue(durations.expectedMs(stream(5_000, 20 * times)) >= longestMs);
        assertTrue(durations.expectedMs(stream(5_000, 20 * times)) <= longestMs * 5 / 4 + 1);
    }

    /** Guards against answers that end early and hide how long those take that use all allowed tokens. */
    @Test
    void anAnswerThatEndsEarlySaysHowLongAnEventTakes() {
        recordStream(stream(5_000, 200), 50, 300, 40, 10);

        assertTrue(durations.expectedMs(stream(5_000, 200)) >= 300 + 40 * 199);
    }

    /** Guards against streams whose events hold fewer tokens than the settings say. */
    @Test
    void moreEventsThanAllowedByTheSettingsTakeTheTimeThatTheyTook() {
        recordStream(stream(5_000, 10), 50, 300, 40, 500);

        assertTrue(durations.expectedMs(stream(5_000, 10)) >= TIMEOUT_MS);
    }

    /** Guards against a long prompt that is read in the time of a short one, when only short ones were seen. */
    @Test
    void theTimeForReadingAPromptGrowsWithTheSquareOfItsLength() {
        recordStream(stream(10_000, 20), 50, 100, 40, 20);

        assertTrue(durations.expectedMs(stream(80_000, 20)) >= 100 * 64 + 40 * 19);
    }

    /** Guards against estimates that know only the requests that ended in time, while servers have become slower. */
    @Test
    void requestsThatHaveNotEndedRaiseTheEstimateByWhatTheyHaveTaken() {
        recordStream(stream(5_000, 20), 50, 300, 40, 20);
        long beforeMs = durations.expectedMs(stream(5_000, 20));

        durations.recordUnfinished(stream(5_000, 20), RequestTiming.withoutEvents(nanos(5_000)));
        assertTrue(durations.expectedMs(stream(5_000, 20)) >= 5_000 + 40 * 19);

        durations.recordUnfinished(stream(5_000, 20), streamTiming(300, 200, 5));
        assertTrue(durations.expectedMs(stream(5_000, 20)) >= 5_000 + 200 * 19);
        assertTrue(beforeMs < 1_500, "before: " + beforeMs);
    }

    /** Guards against callers that leave early and make a request look short. */
    @Test
    void requestsThatHaveNotEndedAreNoKnowledgeAlone() {
        durations.recordUnfinished(read("a"), RequestTiming.withoutEvents(nanos(10)));
        assertEquals(TIMEOUT_MS, durations.expectedMs(read("a")));

        record(read("a"), 1, 1_000);
        durations.recordUnfinished(read("a"), RequestTiming.withoutEvents(nanos(10)));
        assertEquals(TIMEOUT_MS * 7 / 8, durations.expectedMs(read("a")));
    }

    /** Guards against memory that grows with each changed configuration. */
    @Test
    void theNumberOfServicesIsBoundedAndTheOneThatWasUsedLongestAgoIsForgotten() {
        for (int number = 0; number < RequestDurations.MAX_SERVICES; number++) {
            record(read("service-" + number), 20, 10);
        }
        record(read("service-0"), 1, 10);
        record(read("another"), 20, 10);

        assertEquals(13, durations.expectedMs(read("service-0")));
        assertEquals(13, durations.expectedMs(read("another")));
        assertEquals(TIMEOUT_MS, durations.expectedMs(read("service-1")));
    }
}
