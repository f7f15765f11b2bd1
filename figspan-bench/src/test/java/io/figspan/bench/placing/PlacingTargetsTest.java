package io.figspan.bench.placing;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.bench.placing.PlacingPlay.Outcome;
import io.figspan.policy.placing.EnginePlacer;
import io.figspan.policy.placing.LeastBusyPlacer;
import io.figspan.policy.placing.Placer;
import io.figspan.settings.gateway.EngineProfile;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Plays bursts of short and of the longest prompts, and checks what callers get from the placer of engines. */
class PlacingTargetsTest {
    private static final int ENGINES = 21;
    private static final int HOSTS = 6;
    private static final double LENGTH_MS = 20_000;
    private static final long SEEDS = 4;

    /** The plan's first token for 95 in 100 requests. */
    private static final double FIRST_TOKEN_P95_MS = 1_400;

    /** A kind of request that is served less than a quarter as often as all is starved. */
    private static final double STARVED_SHARE = 0.25;

    private static List<PlacingTally> play(Function<EngineProfile, Placer> placer) {
        return LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> new PlacingPlay(
                                PlacingCommand.usersEngine(),
                                ENGINES,
                                HOSTS,
                                RequestClass.users(1),
                                PlacingCommand.alternatingBursts(),
                                placer,
                                seed)
                        .play(LENGTH_MS))
                .toList();
    }

    private static double served(PlacingTally.ClassTally tally) {
        int served = tally.count(Outcome.ON_TIME) + tally.count(Outcome.LATE);
        return (double) served / Math.max(1, tally.total());
    }

    private static double firstTokenP95Ms(PlacingTally tally) {
        List<Double> sorted = tally.classes().values().stream()
                .flatMap(requestClass -> requestClass.firstTokenMs.stream())
                .sorted()
                .toList();
        return sorted.get((int) (0.95 * sorted.size()));
    }

    @Test
    void the95thOf100FirstTokensComesWithinThePlannedTime() {
        assertAll(play(profile -> new EnginePlacer(profile, new SplittableRandom(1))).stream()
                .map(tally -> () ->
                        assertTrue(firstTokenP95Ms(tally) <= FIRST_TOKEN_P95_MS, firstTokenP95Ms(tally) + " ms")));
    }

    @Test
    void noKindOfRequestIsStarvedForAnother() {
        for (PlacingTally tally : play(profile -> new EnginePlacer(profile, new SplittableRandom(1)))) {
            double served = tally.classes().values().stream()
                    .mapToDouble(PlacingTargetsTest::served)
                    .average()
                    .orElse(0);
            tally.classes()
                    .forEach((name, requestClass) ->
                            assertTrue(served(requestClass) >= STARVED_SHARE * served, name + " is starved"));
        }
    }

    @Test
    void callersGetMoreThanFromTheLeastBusyEngine() {
        List<PlacingTally> byPasses = play(profile -> new EnginePlacer(profile, new SplittableRandom(1)));
        List<PlacingTally> byLoad = play(profile -> new LeastBusyPlacer(new SplittableRandom(1)));
        for (int seed = 0; seed < SEEDS; seed++) {
            double gained = byPasses.get(seed).share() - byLoad.get(seed).share();
            assertTrue(gained > 0, "seed " + (seed + 1) + ": " + gained);
        }
    }
}
