package io.figspan.bench.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.policy.engine.EngineSimulation;
import io.figspan.policy.engine.EngineSimulation.RequestTraits;
import io.figspan.policy.engine.LatenessLoss;
import io.figspan.policy.engine.PrefillShare;
import io.figspan.settings.gateway.EngineProfile;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares the forecast of first tokens with an engine that works exactly in passes. */
class ForecastTest {
    private static final EngineProfile PROFILE = PlacingCommand.usersEngine();
    private static final int PLAYS = 300;
    private static final double EARLIER_MS = 400;
    private static final double END_MS = 60_000;

    /** The forecast's median and 95th percentile are to be within 15 in 100 of the engine's. */
    private static final double TOLERANCE = 0.15;

    private static final RequestTraits TRAITS = new RequestTraits(5_000, 300, 10_000, 250, 1);

    /** First-token time of the last request, forecast and played. */
    private record Pair(double forecastMs, double playedMs) {}

    /** One play: requests that arrive at one engine, and the last one, whose first token is forecast. */
    private static final class Play {
        private final EventQueue events = new EventQueue();
        private final PassEngine engine = new PassEngine(events, PROFILE);
        private final EngineSimulation simulation = new EngineSimulation(PROFILE, 0);
        private final Random random;
        private double forecastMs;
        private double playedMs = Double.NaN;

        Play(long seed) {
            this.random = new Random(seed);
        }

        Pair run() {
            int earlier = random.nextInt(6);
            for (int request = 0; request < earlier; request++) {
                double tokens = promptTokens();
                long key = request;
                events.after(random.nextDouble() * EARLIER_MS, () -> submit(key, tokens, false));
            }
            double tokens = promptTokens();
            events.after(EARLIER_MS + 1, () -> submit(earlier, tokens, true));
            events.runUntil(END_MS);
            return new Pair(forecastMs, playedMs);
        }

        private double promptTokens() {
            boolean isLong = random.nextInt(6) == 0;
            return isLong ? 30_000 + random.nextInt(40_000) : 500 + random.nextInt(12_000);
        }

        private void submit(long key, double tokens, boolean isLast) {
            double sentMs = events.nowMs();
            PrefillShare share = PrefillShare.of(tokens, 1);
            if (isLast) {
                forecastMs = simulation
                                .forecast(share, Optional.of(TRAITS), LatenessLoss.DEFAULT, 0, sentMs)
                                .doneMs()
                        - sentMs;
            }
            simulation.addRequest(key, TRAITS, share, sentMs, sentMs);
            engine.submit(new PassEngine.Work(engine, List.of(), tokens, 0, 40, new PassEngine.WorkListener() {
                @Override
                public void onPiece(int pieces) {
                    if (pieces == 1) {
                        simulation.firstTokenSeen(key, events.nowMs());
                    } else {
                        simulation.passEnded(events.nowMs());
                    }
                    if (pieces == 1 && isLast) {
                        playedMs = events.nowMs() - sentMs;
                    }
                }

                @Override
                public void onEnd() {
                    simulation.remove(key, events.nowMs());
                }

                @Override
                public void onRefused() {
                    throw new AssertionError("the engine refused a request");
                }
            }));
        }
    }

    private static List<Pair> plays() {
        List<Pair> pairs = new ArrayList<>();
        for (long seed = 1; seed <= PLAYS; seed++) {
            pairs.add(new Play(seed).run());
        }
        return pairs;
    }

    private static double quantile(List<Double> values, double quantile) {
        return values.stream().sorted().toList().get((int) (quantile * values.size()));
    }

    private static void assertClose(double quantile) {
        List<Pair> pairs = plays();
        double played = quantile(pairs.stream().map(Pair::playedMs).toList(), quantile);
        double forecast = quantile(pairs.stream().map(Pair::forecastMs).toList(), quantile);
        assertEquals(played, forecast, TOLERANCE * played);
    }

    @Test
    void theMedianOfForecastFirstTokensIsThatOfTheEngine() {
        assertClose(0.5);
    }

    @Test
    void the95thOf100ForecastFirstTokensIsThatOfTheEngine() {
        assertClose(0.95);
    }

    @Test
    void halfOfAllForecastsAreWithin15In100OfWhatTheEngineDoes() {
        List<Double> errors = plays().stream()
                .map(pair -> Math.abs(pair.forecastMs() - pair.playedMs()) / pair.playedMs())
                .toList();
        assertEquals(0, quantile(errors, 0.5), TOLERANCE);
    }
}
