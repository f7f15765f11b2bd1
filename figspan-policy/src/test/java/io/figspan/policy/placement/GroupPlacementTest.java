package io.figspan.policy.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.policy.subset.EngineLocation;
import java.util.List;
import org.junit.jupiter.api.Test;

class GroupPlacementTest {
    private static final EngineSpeed SPEED = new EngineSpeed(40_000, 512, 20_000_000, 400_000);
    private static final PromptCost LONGEST = new PromptCost(1_000_000, 500, 0, 0);

    /** Guards against a prompt that waits until its deadline because the usual group is larger than the zone. */
    @Test
    void aZoneWithFewRunnersGetsASmallerGroupThatFillsItsEnginesFurther() {
        LoadView view = view(3);
        List<BackendServerId> chosen = GroupPlacement.DEFAULT.choose(LONGEST, view, view.engines(), 60_000);
        assertEquals(3, chosen.size());
    }

    /** Guards against groups that fill engines and so hold up short prompts where more engines are at hand. */
    @Test
    void aZoneWithManyRunnersGetsAGroupOfTheUsualSize() {
        LoadView view = view(7);
        List<BackendServerId> chosen = GroupPlacement.DEFAULT.choose(LONGEST, view, view.engines(), 60_000);
        assertEquals(5, chosen.size());
    }

    /** Guards against a prompt that is held until its deadline although no wait can help. */
    @Test
    void aPromptThatNoZoneCanHoldIsKnownToBeImpossible() {
        assertFalse(GroupPlacement.DEFAULT.isPossible(LONGEST, view(2)));
        assertTrue(GroupPlacement.DEFAULT.isPossible(LONGEST, view(3)));
    }

    private static LoadView view(int runners) {
        LoadView view = new LoadView(SPEED);
        for (int i = 0; i < runners; i++) {
            view.add(new EngineLocation(BackendServerId.of("engine-" + i), AvailabilityZoneId.of("zone-a")));
        }
        return view;
    }
}
