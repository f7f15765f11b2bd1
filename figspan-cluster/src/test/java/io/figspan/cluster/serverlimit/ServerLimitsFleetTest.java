package io.figspan.cluster.serverlimit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.serverlimit.SimulatedSenders.Load;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays hosts in front of a server that names a limit, in logical time. */
class ServerLimitsFleetTest {
    private static final int SEEDS = 20;
    private static final long STABLE_MS = 3_000;
    private static final long WINDOW_MS = 4_000;
    private static final double WINDOW_S = 4;
    private static final long PLAY_MS = 40_000;

    /** Target: one and a half times what the limit allows in a window, and 5 requests. */
    private static double allowed(double limit) {
        return 1.5 * limit * WINDOW_S + 5;
    }

    private static SimulatedSenders play(Load load, double limit, int seed) {
        SimulatedSenders senders = new SimulatedSenders(load, seed);
        senders.runFor(5_000);
        senders.limitTo(limit);
        senders.runFor(PLAY_MS);
        return senders;
    }

    /** Guards against hosts that each keep a limit, or none, and overrun it together. */
    @ParameterizedTest
    @CsvSource({
        "7, 30, 0, 0, 1",
        "7, 30, 70, 20, 1.3",
        "7, 4, 0, 0, 1",
        "14, 60, 0, 20, 1",
        "14, 60, 0, 5, 5",
        "7, 100, 30, 5, 20",
        "7, 30, 0, 0, 0.2"
    })
    void allHostsTogetherKeepTheLimit(
            int hosts, double requestsPerSecond, int firstHostPercent, int lossPercent, double limit) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedSenders senders =
                    play(new Load(hosts, requestsPerSecond, firstHostPercent, lossPercent), limit, seed);

            int most = senders.mostRequestsWithin(WINDOW_MS, STABLE_MS);
            assertTrue(most <= allowed(limit), "seed " + seed + ": " + most + " requests in a window");
        }
    }

    /** Guards against a limit that is divided by the number of hosts and starves the one with the traffic. */
    @ParameterizedTest
    @CsvSource({"7, 30, 0, 0, 1", "7, 30, 100, 5, 1.3", "14, 60, 70, 5, 5", "7, 100, 30, 5, 20"})
    void aServerGetsMostOfWhatItAcceptsHoweverTheTrafficIsSpread(
            int hosts, double requestsPerSecond, int firstHostPercent, int lossPercent, double limit) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedSenders senders =
                    play(new Load(hosts, requestsPerSecond, firstHostPercent, lossPercent), limit, seed);

            long requests = senders.requestsSince(STABLE_MS);
            double accepted = limit * (PLAY_MS - STABLE_MS) / 1_000;
            assertTrue(requests >= 0.75 * accepted, "seed " + seed + ": " + requests + " of " + accepted);
        }
    }

    /** Guards against two sides of a partition that both use the whole limit. */
    @Test
    void hostsThatAreCutOffFromEachOtherKeepTheLimitTogether() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedSenders senders = new SimulatedSenders(new Load(7, 30, 50, 0), seed);
            senders.runFor(2_000);
            senders.limitTo(2);
            senders.runFor(5_000);
            senders.cutOffFirstHost();
            senders.runFor(PLAY_MS);

            int most = senders.mostRequestsWithin(WINDOW_MS, STABLE_MS);
            assertTrue(most <= allowed(2), "seed " + seed + ": " + most + " requests in a window");
        }
    }

    @Test
    void theLimitEndsWhenTheServerNoLongerNamesIt() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedSenders senders = play(new Load(7, 30, 0, 5), 1, seed);
            int before = senders.requests();

            senders.endLimit();
            senders.runFor(10_000);

            int later = senders.requests() - before;
            assertTrue(later >= 200, "seed " + seed + ": " + later + " of 300 requests");
        }
    }
}
