package io.figspan.bench.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.policy.placing.EnginePlacer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Plays organisations on hosts with the placer of engines, and checks what the callers of each get. */
class FairAdmissionTest {
    private static final int ENGINES = 21;
    private static final int HOSTS = 6;
    private static final int ORGANISATIONS = 10;
    private static final double GREEDY_FACTOR = 7.5;
    private static final double LENGTH_MS = 34_000;
    private static final long SEEDS = 6;

    private static List<PlacingTally> play(double rate, List<Burst> bursts, OrganisationMix mix) {
        return LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> new PlacingPlay(
                                PlacingCommand.usersEngine(),
                                ENGINES,
                                HOSTS,
                                RequestClass.users(rate),
                                bursts,
                                profile -> new EnginePlacer(profile, new SplittableRandom(1)),
                                seed)
                        .of(mix)
                        .play(LENGTH_MS))
                .toList();
    }

    private static OrganisationMix mix(int count, double factor, boolean areNamed) {
        return new OrganisationMix(count, factor, 1, 0, LENGTH_MS, areNamed);
    }

    private static double meanShareOfOthers(List<PlacingTally> tallies) {
        return tallies.stream()
                .mapToDouble(tally -> tally.shareWithout(OrganisationMix.GREEDY))
                .average()
                .orElseThrow();
    }

    private static List<String> results(List<PlacingTally> tallies) {
        List<String> results = new ArrayList<>();
        for (PlacingTally tally : tallies) {
            tally.classes()
                    .forEach((name, requestClass) ->
                            results.add(name + requestClass.counts + requestClass.firstTokenMs));
        }
        return results;
    }

    /** Guards against fair shares that change decisions where only one organisation, or none, sends requests. */
    @Test
    void oneOrganisationGetsTheSameAsRequestsWithoutOne() {
        List<Burst> bursts = PlacingCommand.alternatingBursts();
        assertEquals(results(play(1.6, bursts, mix(1, 1, false))), results(play(1.6, bursts, mix(1, 1, true))));
    }

    /** Guards against fair shares that change decisions while no request has to wait. */
    @Test
    void withoutWaitingOrganisationsGetTheSameAsRequestsWithoutOne() {
        assertEquals(
                results(play(0.2, List.of(), mix(ORGANISATIONS, 1, false))),
                results(play(0.2, List.of(), mix(ORGANISATIONS, 1, true))));
    }

    /** Guards against an organisation that takes the engines from the others while the mix turns over both ways. */
    @Test
    void theOthersGetMoreThanTheOrganisationThatSendsManyTimesItsUsualLoad() {
        List<Burst> bursts = PlacingCommand.alternatingBursts();
        List<PlacingTally> shared = play(1, bursts, mix(ORGANISATIONS, GREEDY_FACTOR, true));
        double others = meanShareOfOthers(shared);
        double without = meanShareOfOthers(play(1, bursts, mix(ORGANISATIONS, GREEDY_FACTOR, false)));
        double greedy = shared.stream()
                .mapToDouble(tally -> tally.of(OrganisationMix.GREEDY).share())
                .average()
                .orElseThrow();
        assertTrue(others >= without + 0.04, "with shares " + others + ", without " + without);
        assertTrue(others >= greedy + 0.04, "others " + others + ", greedy " + greedy);
        assertTrue(greedy > 0.5 * others, "the greedy organisation still gets its share: " + greedy);
    }

    /** Guards against an organisation whose return after a pause, at a high rate, harms those that stayed. */
    @Test
    void theOthersGetNoLessWhenAnOrganisationReturnsAfterAPause() {
        List<Burst> bursts = PlacingCommand.alternatingBursts();
        OrganisationMix returning = new OrganisationMix(ORGANISATIONS, GREEDY_FACTOR, 0, 15_000, 25_000, true);
        OrganisationMix unnamed = new OrganisationMix(ORGANISATIONS, GREEDY_FACTOR, 0, 15_000, 25_000, false);
        double others = meanShareOfOthers(play(1, bursts, returning));
        double without = meanShareOfOthers(play(1, bursts, unnamed));
        assertTrue(others >= without, "with shares " + others + ", without " + without);
    }
}
