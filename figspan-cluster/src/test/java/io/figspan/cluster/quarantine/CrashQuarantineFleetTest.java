package io.figspan.cluster.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.quarantine.SimulatedFleet.Load;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays fleets of hosts in logical time under prompts with a part that crashes each engine which begins to answer. */
class CrashQuarantineFleetTest {
    private static final int SEEDS = 20;
    private static final int ENGINES = 18;
    private static final long STABLE_MS = 3_000;
    private static final long DAY_MS = 75_000;

    /** Target: prompts with the part that may still be sent once all hosts must know it. */
    private static final long MAX_SENT_LATER = 3;

    /** Guards against prompts with one part that crash one engine after the other. */
    @ParameterizedTest
    @CsvSource({
        "7, 25, 6, 1, 0",
        "7, 25, 6, 0, 0",
        "7, 25, 6, 2, 20",
        "7, 25, 1, 1, 20",
        "7, 2, 0.4, 1, 0",
        "75, 60, 20, 1, 5"
    })
    void promptsWithACrashingPartDontReachTheEnginesForLong(
            int hosts, double soundPerSecond, double crashingPerSecond, int depth, int lossPercent) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(
                    new Load(hosts, ENGINES, soundPerSecond, crashingPerSecond, depth, lossPercent), seed);

            fleet.runFor(DAY_MS);

            long sentLater = fleet.crashingSentAfterFifthCrash(STABLE_MS);
            assertTrue(sentLater <= MAX_SENT_LATER, "seed " + seed + ": " + sentLater + " were sent later");
        }
    }

    /** Guards against a part that is out of reach because of its place among many others (review/3). */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 20", "0, 1, 20", "0, 2, 20",
        "1, 0, 20", "1, 1, 20", "1, 3, 20",
        "15, 0, 10", "15, 8, 10", "15, 17, 10",
        "62, 0, 5", "62, 32, 5", "62, 64, 5",
        "2000, 0, 1", "2000, 1000, 1", "2000, 2002, 1"
    })
    void aCrashingPartAtAnyPlaceDoesntReachTheEnginesForLong(int passages, int depth, int seeds) {
        for (int seed = 0; seed < seeds; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(new Load(3, ENGINES, 4, 1, depth, 0, passages), seed);

            fleet.runFor(40_000);

            long sentLater = fleet.crashingSentAfterFifthCrash(STABLE_MS);
            assertTrue(sentLater <= MAX_SENT_LATER, "seed " + seed + ": " + sentLater + " were sent later");
            long refused = fleet.soundRefusedAfterFifthCrash(2 * STABLE_MS);
            long arrived = fleet.soundArrivedAfterFifthCrash(2 * STABLE_MS);
            assertTrue(2 * refused <= arrived, "seed " + seed + ": " + refused + " of " + arrived + " were refused");
        }
    }

    /** Guards against sound prompts that are refused together with those that share a part with them. */
    @ParameterizedTest
    @CsvSource({"7, 25, 6, 1, 0", "7, 25, 6, 0, 0", "7, 25, 6, 2, 20", "7, 2, 0.4, 1, 0", "75, 60, 20, 1, 5"})
    void soundPromptsThatShareTheOtherPartsAreStillServed(
            int hosts, double soundPerSecond, double crashingPerSecond, int depth, int lossPercent) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(
                    new Load(hosts, ENGINES, soundPerSecond, crashingPerSecond, depth, lossPercent), seed);

            fleet.runFor(DAY_MS);

            long refused = fleet.soundRefusedAfterFifthCrash(2 * STABLE_MS);
            long arrived = fleet.soundArrivedAfterFifthCrash(2 * STABLE_MS);
            assertTrue(2 * refused <= arrived, "seed " + seed + ": " + refused + " of " + arrived + " were refused");
        }
    }

    /** Guards against hosts that learn anew, by further crashes, what the others know already. */
    @Test
    void restartedHostsLearnTheCrashingPartFromTheOthers() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(new Load(7, ENGINES, 25, 6, 1, 20), seed);
            fleet.runFor(15_000);
            int crashesBefore = fleet.crashes();

            fleet.restartHosts(3);
            fleet.runFor(30_000);

            int later = fleet.crashes() - crashesBefore;
            assertTrue(later <= MAX_SENT_LATER, "seed " + seed + ": " + later + " engines crashed after the restart");
        }
    }

    @Test
    void enginesThatCrashByThemselvesQuarantineNoSoundPrompt() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(new Load(7, ENGINES, 25, 0, 1, 0), seed);
            for (int wave = 0; wave < 6; wave++) {
                fleet.runFor(2_000);
                fleet.crashEngines(ENGINES / 3);
            }
            fleet.runFor(10_000);

            assertEquals(0, fleet.soundRefused(), "seed " + seed + ", of " + fleet.soundArrived());
        }
    }

    @Test
    void resetConnectionsQuarantineNoSoundPrompt() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(new Load(7, ENGINES, 25, 0, 1, 0), seed);
            for (int reset = 0; reset < 40; reset++) {
                fleet.runFor(250);
                fleet.resetConnectionsOfFirstHost();
            }
            fleet.runFor(10_000);

            assertEquals(0, fleet.soundRefused(), "seed " + seed + ", of " + fleet.soundArrived());
        }
    }
}
