package io.figspan.policy.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.policy.engine.EngineSimulation.Forecast;
import io.figspan.policy.engine.EngineSimulation.RequestTraits;
import io.figspan.settings.gateway.EngineProfile;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against forecasts that differ from the times that follow from an engine's published profile. */
class EngineSimulationTest {
    private static final EngineProfile ENGINE = new EngineProfile(11, 315_000, 50, 1, 0, 0, 100, 0.2, 2_000, 200, 0);
    private static final LatenessLoss LOSS = LatenessLoss.DEFAULT;

    /** Prefill of 10,000 tokens: 100 ms for the tokens, 10 ms for 50 million attention pairs, 5 ms for chunk steps. */
    private static final double PREFILL_MS = 115;

    private static final double STRIDE_MS = 50;

    private static RequestTraits traits(double tokens, double maxGapMs) {
        return new RequestTraits(tokens, 300, 2_000, maxGapMs, 2);
    }

    private final EngineSimulation engine = new EngineSimulation(ENGINE, 0);

    private double doneMs(double tokens, int engines) {
        return engine.forecast(PrefillShare.of(tokens, engines), Optional.empty(), LOSS, 0, 0)
                .doneMs();
    }

    @Test
    void anIdleEnginePrefillsAtItsRateWithOneStepForEachChunk() {
        assertEquals(PREFILL_MS, doneMs(10_000, 1), 0.1);
    }

    @Test
    void severalEnginesPrefillEqualSharesOfTokensAndAttentionPairs() {
        assertEquals(PREFILL_MS / 5, doneMs(10_000, 5), 0.1);
    }

    @Test
    void prefillDuringDecodingWaitsForThePassAndLengthensTheNextOne() {
        engine.addDecodingRequest(1, traits(1_000, 250), 1, 0);
        engine.advanceTo(10);
        Forecast forecast = engine.forecast(PrefillShare.of(10_000, 1), Optional.empty(), LOSS, 0, 10);
        assertEquals(STRIDE_MS + STRIDE_MS + 110, forecast.doneMs(), 0.1);
        assertEquals(0, forecast.lossToOthers(), 1e-9, "a gap of 160 ms is within 250 ms");
    }

    @Test
    void aGapThatGetsTooLongIsALossOfTheDecodingRequest() {
        engine.addDecodingRequest(1, traits(1_000, 250), 1, 0);
        Forecast forecast = engine.forecast(PrefillShare.of(40_000, 1), Optional.empty(), LOSS, 0, 0);
        assertTrue(forecast.lossToOthers() > 1, "the answer of weight 2 is late, loss " + forecast.lossToOthers());
    }

    @Test
    void theLatestShareIsPrefilledFirst() {
        engine.addHelperShare(1, traits(0, 0), PrefillShare.of(20_000, 2), 0);
        assertEquals(PREFILL_MS, doneMs(10_000, 1) - doneMs(20_000, 2), 5);
        assertEquals(
                doneMs(20_000, 2),
                new EngineSimulation(ENGINE, 0)
                        .forecast(PrefillShare.of(20_000, 2), Optional.empty(), LOSS, 0, 0)
                        .doneMs(),
                0.1);
    }

    @Test
    void aShareThatGoesFirstIsALossOfTheOneItDelays() {
        engine.addHelperShare(1, new RequestTraits(0, 200, 2_000, 0, 10), PrefillShare.of(20_000, 2), 0);
        Forecast forecast = engine.forecast(PrefillShare.of(60_000, 2), Optional.empty(), LOSS, 0, 0);
        assertTrue(forecast.lossToOthers() > 1, "harm " + forecast.lossToOthers());
    }

    @Test
    void aRequestDecodesAfterPrefillAndOccupiesItsSlotUntilItIsRemoved() {
        engine.addRequest(1, traits(10_000, 250), PrefillShare.of(10_000, 1), 0, 0);
        assertEquals(1, engine.occupiedSlots());
        assertEquals(0, engine.decodingRequests());
        engine.advanceTo(PREFILL_MS + 1);
        assertEquals(1, engine.decodingRequests());
        engine.remove(1, 500);
        assertEquals(0, engine.occupiedSlots());
        assertEquals(0, engine.memoryTokens());
    }

    @Test
    void aRequestWaitsForTheSharesOfItsHelpers() {
        engine.addRequest(1, traits(10_000, 250), PrefillShare.of(10_000, 2), 400, 0);
        engine.advanceTo(399);
        assertEquals(0, engine.decodingRequests());
        engine.advanceTo(401);
        assertEquals(1, engine.decodingRequests());
    }

    @Test
    void anObservedFirstTokenEndsThePrefill() {
        engine.addRequest(1, traits(100_000, 250), PrefillShare.of(100_000, 1), 0, 0);
        engine.firstTokenSeen(1, 50);
        assertEquals(1, engine.decodingRequests());
        assertEquals(0, engine.prefillBacklogMs());
    }

    @Test
    void aPassPrefillsNoMoreThanItsStepsAllow() {
        engine.addDecodingRequest(1, traits(1_000, 1_000), 1, 0);
        engine.addRequest(2, traits(150_000, 1_000), PrefillShare.of(150_000, 1), 0, 0);
        engine.advanceTo(STRIDE_MS + 1);
        double longestPassMs = STRIDE_MS + 100_000 / 100.0 + 100_000 / 150_000.0 * 2_250;
        engine.advanceTo(STRIDE_MS + longestPassMs - 5);
        assertEquals(1, engine.decodingRequests());
        assertTrue(engine.prefillBacklogMs() > 0, "a third of the prompt is prefilled in the next pass");
    }

    @Test
    void aSlowEngineTakesAsManyTimesAsLong() {
        engine.setSlowdown(3);
        assertEquals(3 * PREFILL_MS, doneMs(10_000, 1), 0.5);
    }
}
