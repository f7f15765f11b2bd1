package io.figspan.policy.affinity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.policy.placement.LoadView;
import io.figspan.policy.placement.LoadView.EngineLoad;
import io.figspan.policy.subset.EngineLocation;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against hints that survive an eviction, which route prompts to engines without the prefix, and against a
 * popular prefix that overloads a single engine because the load bound is not applied.
 */
class PrefixAffinityTest {
    private static final BackendServerId A = BackendServerId.of("a");

    @Test
    void aGapInTheEventsDropsAllHintsOnThatEngineAndAnOldEventChangesNothing() {
        PrefixAffinity affinity = new PrefixAffinity(1.25);
        affinity.onEvent(new CacheEvent(A, 1, 100, true));
        affinity.onEvent(new CacheEvent(A, 2, 200, true));
        affinity.onEvent(new CacheEvent(A, 1, 100, false));
        assertTrue(affinity.mayHavePrefix(100, A));
        affinity.onEvent(new CacheEvent(A, 4, 300, true));
        assertFalse(affinity.mayHavePrefix(100, A));
        assertFalse(affinity.mayHavePrefix(200, A));
        assertTrue(affinity.mayHavePrefix(300, A));
    }

    @Test
    void theNumberOfPrefixesWithHintsIsBounded() {
        PrefixAffinity affinity = new PrefixAffinity(1.25, 8);
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 1; i <= 1_000; i++) {
            affinity.onEvent(new CacheEvent(A, i + i / 50, random.nextInt(50), random.nextInt(3) > 0));
            assertTrue(affinity.size() <= 8);
        }
    }

    @Test
    void noEngineIsPreferredAboveTheLoadBound() {
        LoadView view = new LoadView(new EngineSpeed(40_000, 2_048, 50_000_000, 400_000));
        for (int i = 0; i < 5; i++) {
            view.add(new EngineLocation(BackendServerId.of("runner-" + i), AvailabilityZoneId.of("az")));
        }
        PrefixAffinity affinity = new PrefixAffinity(1.25);
        for (int sends = 1; sends <= 100; sends++) {
            EngineLoad chosen = affinity.preferred(7, view.engines(), EngineLoad::outstanding, 1)
                    .orElseThrow();
            view.recordSent(chosen.server(), sends, 1_000, 1_000, 1_000, sends);
            affinity.recordSent(7, chosen.server());
            double mean = sends / 5.0;
            assertTrue(chosen.outstanding() <= 1.25 * mean + 2);
        }
        assertEquals(
                100, view.engines().stream().mapToInt(EngineLoad::outstanding).sum());
    }
}
