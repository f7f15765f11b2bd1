package io.figspan.policy.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.policy.engine.EngineSimulation.Forecast;
import io.figspan.policy.engine.EngineSimulation.RequestTraits;
import io.figspan.settings.gateway.EngineProfile;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against forecasts that differ from how engines work by their published figures. */
class EngineSimulationTest {
    private static final EngineProfile ENGINE = new EngineProfile(11, 315_000, 50, 1, 0, 0, 100, 0.2, 2_000, 200, 0);
    private static final LatenessLoss LOSS = LatenessLoss.DEFAULT;

    /** Reading of 10,000 tokens: 100 ms by rate, 10 ms by 50 million pairs, 5 ms by the steps of its chunks. */
    private static final double READ_ALONE_MS = 115;

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
    void anIdleEngineReadsAtItsRateAndAStepForEachChunk() {
        assertEquals(READ_ALONE_MS, doneMs(10_000, 1), 0.1);
    }

    @Test
    void severalEnginesReadEvenPartsOfTokensAndPairs() {
        assertEquals(READ_ALONE_MS / 5, doneMs(10_000, 5), 0.1);
    }

    @Test
    void readingBesideWritersWaitsForThePassAndLengthensTheNextOne() {
        engine.addWriter(1, traits(1_000, 250), 1, 0);
        engine.advanceTo(10);
        Forecast forecast = engine.forecast(PrefillShare.of(10_000, 1), Optional.empty(), LOSS, 0, 10);
        assertEquals(STRIDE_MS + STRIDE_MS + 110, forecast.doneMs(), 0.1);
        assertEquals(0, forecast.harm(), 1e-9, "a pause of 160 ms is within 250 ms");
    }

    @Test
    void aPauseThatGetsTooLongHarmsTheWriter() {
        engine.addWriter(1, traits(1_000, 250), 1, 0);
        Forecast forecast = engine.forecast(PrefillShare.of(40_000, 1), Optional.empty(), LOSS, 0, 0);
        assertTrue(forecast.harm() > 1, "the answer of worth 2 is late, harm " + forecast.harm());
    }

    @Test
    void theLatestPartIsReadFirst() {
        engine.addPart(1, traits(0, 0), PrefillShare.of(20_000, 2), 0);
        assertEquals(READ_ALONE_MS, doneMs(10_000, 1) - doneMs(20_000, 2), 5);
        assertEquals(
                doneMs(20_000, 2),
                new EngineSimulation(ENGINE, 0)
                        .forecast(PrefillShare.of(20_000, 2), Optional.empty(), LOSS, 0, 0)
                        .doneMs(),
                0.1);
    }

    @Test
    void aPartThatGoesFirstHarmsTheOneThatWaits() {
        engine.addPart(1, new RequestTraits(0, 200, 2_000, 0, 10), PrefillShare.of(20_000, 2), 0);
        Forecast forecast = engine.forecast(PrefillShare.of(60_000, 2), Optional.empty(), LOSS, 0, 0);
        assertTrue(forecast.harm() > 1, "harm " + forecast.harm());
    }

    @Test
    void aRequestWritesOnceItIsReadAndHoldsItsSlotUntilItEnds() {
        engine.addRequest(1, traits(10_000, 250), PrefillShare.of(10_000, 1), 0, 0);
        assertEquals(1, engine.occupiedSlots());
        assertEquals(0, engine.writers());
        engine.advanceTo(READ_ALONE_MS + 1);
        assertEquals(1, engine.writers());
        engine.remove(1, 500);
        assertEquals(0, engine.occupiedSlots());
        assertEquals(0, engine.memoryTokens());
    }

    @Test
    void aRequestWaitsForThePartsOfOtherEngines() {
        engine.addRequest(1, traits(10_000, 250), PrefillShare.of(10_000, 2), 400, 0);
        engine.advanceTo(399);
        assertEquals(0, engine.writers());
        engine.advanceTo(401);
        assertEquals(1, engine.writers());
    }

    @Test
    void anObservedFirstTokenEndsTheReading() {
        engine.addRequest(1, traits(100_000, 250), PrefillShare.of(100_000, 1), 0, 0);
        engine.firstTokenSeen(1, 50);
        assertEquals(1, engine.writers());
        assertEquals(0, engine.readingMs());
    }

    @Test
    void aPassReadsNoMoreThanItsStepsAllow() {
        engine.addWriter(1, traits(1_000, 1_000), 1, 0);
        engine.addRequest(2, traits(150_000, 1_000), PrefillShare.of(150_000, 1), 0, 0);
        engine.advanceTo(STRIDE_MS + 1);
        double longestPassMs = STRIDE_MS + 100_000 / 100.0 + 100_000 / 150_000.0 * 2_250;
        engine.advanceTo(STRIDE_MS + longestPassMs - 5);
        assertEquals(1, engine.writers());
        assertTrue(engine.readingMs() > 0, "a third of the prompt is read in the next pass");
    }

    @Test
    void aSlowEngineTakesAsManyTimesAsLong() {
        engine.setPace(3);
        assertEquals(3 * READ_ALONE_MS, doneMs(10_000, 1), 0.5);
    }
}
