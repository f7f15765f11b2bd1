package io.figspan.policy.affinity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.PromptPartId;
import io.figspan.settings.gateway.PrefixRetention;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a saving that is expected from an engine that no longer holds the prefix, and against growth. */
class CachedPrefixesTest {
    private static final BackendServerId ENGINE = BackendServerId.of("engine");
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final CachedPrefixes retained = new CachedPrefixes(new PrefixRetention(10_000), 4);

    private static PromptPrefix prefix(String... ids) {
        List<PromptPart> parts = new ArrayList<>();
        for (String id : ids) {
            parts.add(new PromptPart(PromptPartId.of(id), 100));
        }
        return PromptPrefix.of(parts);
    }

    private double expected(long nowNanos, String... ids) {
        return retained.expectedTokens(ENGINE, prefix(ids), nowNanos);
    }

    @Test
    void onlyTheLeadingRunOfPartsInTheSameOrderIsSaved() {
        retained.started(ENGINE, prefix("a", "b"));
        assertEquals(200, expected(0, "a", "b"));
        assertEquals(100, expected(0, "a", "c", "b"));
        assertEquals(0, expected(0, "b", "a"));
    }

    @Test
    void theChanceFallsToNothingWithinTheRetention() {
        retained.started(ENGINE, prefix("a")).ended(SECOND_NANOS);
        assertEquals(100, expected(SECOND_NANOS, "a"), 1e-6);
        assertEquals(50, expected(6 * SECOND_NANOS, "a"), 1e-6);
        assertEquals(0, expected(20 * SECOND_NANOS, "a"));
    }

    @Test
    void withoutRetentionAPartCountsOnlyWhileARequestWithItRuns() {
        CachedPrefixes none = new CachedPrefixes(PrefixRetention.NONE);
        PrefixUse first = none.started(ENGINE, prefix("a"));
        PrefixUse second = none.started(ENGINE, prefix("a"));
        first.ended(0);
        assertEquals(100, none.expectedTokens(ENGINE, prefix("a"), 0));
        second.ended(0);
        assertEquals(0, none.expectedTokens(ENGINE, prefix("a"), 0));
        assertEquals(0, none.size(ENGINE));
    }

    @Test
    void aRequestThatWasNeverPrefilledLeavesNothingBehind() {
        retained.started(ENGINE, prefix("a")).withdrawn();
        assertEquals(0, expected(0, "a"));
    }

    @Test
    void theEndOfARequestFromBeforeARestartDoesNotEndTheUseOfALaterOne() {
        PrefixUse before = retained.started(ENGINE, prefix("a"));
        retained.clear(ENGINE);
        assertEquals(0, expected(0, "a"));
        retained.started(ENGINE, prefix("a"));
        before.withdrawn();
        assertEquals(100, expected(0, "a"));
    }

    @Test
    void fullMemoryEndsTheLeastRecentlyUsedPartsThatNoRequestUses() {
        retained.started(ENGINE, prefix("a")).ended(0);
        retained.started(ENGINE, prefix("b")).ended(0);
        retained.started(ENGINE, prefix("c"));
        retained.fitInto(ENGINE, 150);
        assertEquals(0, expected(0, "a"));
        assertEquals(100, expected(0, "b"));
        retained.fitInto(ENGINE, 0);
        assertEquals(0, expected(0, "b"));
        assertEquals(100, expected(0, "c"));
    }

    @Test
    void theNumberOfPartsIsBoundedAndTheEndOfAPromptIsEvictedBeforeItsBeginning() {
        retained.started(ENGINE, prefix("a", "b", "c"));
        retained.started(ENGINE, prefix("d", "e"));
        assertEquals(4, retained.size(ENGINE));
        assertEquals(200, expected(0, "a", "b", "c"));
        for (int i = 0; i < 1_000; i++) {
            retained.started(ENGINE, prefix("x" + i, "y"));
            assertTrue(retained.size(ENGINE) <= 4);
        }
    }
}
