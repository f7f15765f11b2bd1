package io.figspan.policy.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.BackendServerId;
import io.figspan.policy.engine.EngineSimulation.RequestTraits;
import io.figspan.policy.engine.PrefillShare;
import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ShortlistTest {
    private static final EngineProfile ENGINE =
            new EngineProfile(4, 315_000, 51, 0.85, 0.006, 0.0029, 177, 0.184, 2_048, 200, 0.05);
    private static final RequestTraits TRAITS = new RequestTraits(5_000, 1_000, 4_000, 300, 1);

    private final List<EngineState> engines = new ArrayList<>();

    private EngineState engine() {
        EngineState engine = new EngineState(BackendServerId.of("e" + engines.size()), ENGINE, 0);
        engines.add(engine);
        return engine;
    }

    private void engines(int count) {
        for (int i = 0; i < count; i++) {
            engine();
        }
    }

    @Test
    void lengthIsLimitedForManyEngines() {
        engines(100);

        assertEquals(Shortlist.MAX_ENGINES, Shortlist.of(engines, engine -> 0).size());
    }

    @Test
    void allEnginesOfASmallFleetAreIncluded() {
        engines(3);

        assertEquals(3, Shortlist.of(engines, engine -> 0).size());
    }

    @Test
    void idleEnginesComeBeforeDecodingAndPrefillingOnes() {
        EngineState prefilling = engine();
        prefilling.simulation().addHelperShare(1, TRAITS, PrefillShare.of(50_000, 1), 0);
        EngineState decoding = engine();
        decoding.simulation().addDecodingRequest(2, TRAITS, 1, 0);
        EngineState idle = engine();

        assertEquals(List.of(idle, decoding, prefilling), Shortlist.of(engines, engine -> 0));
    }

    @Test
    void anEngineWhoseGapLimitWouldTightenComesAfterADecodingOne() {
        engines(20);
        EngineState decoding = engine();
        decoding.simulation().addDecodingRequest(1, TRAITS, 1, 0);

        List<EngineState> shortlist = Shortlist.of(engines, engine -> engine == decoding ? 0 : 0.5);

        assertEquals(decoding, shortlist.get(0));
        assertTrue(shortlist.contains(engines.get(0)));
        assertFalse(shortlist.contains(engines.get(19)));
    }
}
