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

    /** Guards against a prompt that queues until its deadline because its usual group size exceeds the zone. */
    @Test
    void aZoneWithFewEnginesGetsASmallerGroupThatFillsItsEnginesFurther() {
        LoadView view = view(3);
        List<BackendServerId> chosen = GroupPlacement.DEFAULT.choose(LONGEST, view, view.engines(), 60_000);
        assertEquals(3, chosen.size());
    }

    /** Guards against groups that fill their engines and delay short prompts although the zone has more engines. */
    @Test
    void aZoneWithManyEnginesGetsAGroupOfTheUsualSize() {
        LoadView view = view(7);
        List<BackendServerId> chosen = GroupPlacement.DEFAULT.choose(LONGEST, view, view.engines(), 60_000);
        assertEquals(5, chosen.size());
    }

    /** Guards against a prompt that queues until its deadline although no zone can ever serve it. */
    @Test
    void aPromptThatFitsNoZoneIsNotPossible() {
        assertFalse(GroupPlacement.DEFAULT.isPossible(LONGEST, view(2)));
        assertTrue(GroupPlacement.DEFAULT.isPossible(LONGEST, view(3)));
    }

    private static LoadView view(int engines) {
        LoadView view = new LoadView(SPEED);
        for (int i = 0; i < engines; i++) {
            view.add(new EngineLocation(BackendServerId.of("engine-" + i), AvailabilityZoneId.of("zone-a")));
        }
        return view;
    }
}
