package io.figspan.cluster.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.quarantine.SimulatedFleet.Load;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays fleets of hosts in logical time under one request that comes again and crashes each engine that runs it. */
class CrashingRequestFleetTest {
    private static final int SEEDS = 20;
    private static final int ENGINES = 18;
    private static final long STABLE_MS = 3_000;
    private static final int DEADLY_REQUESTS = 60;
    private static final long DAY_MS = 30_000;

    /** Target: sends of the request once all hosts must know it. */
    private static final long MAX_SENT_LATER = 3;

    private static SimulatedFleet smallFleet(int lossPercent, int seed) {
        return new SimulatedFleet(new Load(6, ENGINES, 25, 0, 1, lossPercent), seed);
    }

    private static void assertSoundPromptsAreServed(SimulatedFleet fleet, int seed) {
        assertEquals(0, fleet.soundRefused(), "seed " + seed + ": sound prompts were refused");
        assertEquals(0, fleet.partsQuarantined(), "seed " + seed + ": parts were quarantined");
    }

    /** Guards against one request that crashes server after server, before or after its response has begun. */
    @ParameterizedTest
    @CsvSource({"6, 18, 25, 0, 20", "6, 18, 25, 33, 20", "6, 18, 80, 33, 20", "6, 18, 1, 33, 20", "400, 60, 40, 33, 1"})
    void aRequestThatCrashesItsServersIsNotSentForLong(
            int hosts, int engines, double soundPerSecond, int lossPercent, int seeds) {
        for (int seed = 0; seed < seeds; seed++) {
            SimulatedFleet fleet =
                    new SimulatedFleet(new Load(hosts, engines, soundPerSecond, 0, 1, lossPercent), seed);
            fleet.sendDeadlyRequests(DEADLY_REQUESTS, hosts);

            fleet.runFor(DAY_MS);

            long sentLater = fleet.deadlySentAfterThirdCrash(STABLE_MS);
            assertTrue(sentLater <= MAX_SENT_LATER, "seed " + seed + ": sent " + sentLater + " times later");
            assertSoundPromptsAreServed(fleet, seed);
        }
    }

    /** Guards against hosts that were cut off while the others learned of the request. */
    @Test
    void hostsThatWereCutOffDontSendTheRequestOnceTheyAreInTouchAgain() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = smallFleet(33, seed);
            fleet.cutOff(3);
            fleet.sendDeadlyRequests(16, 3);
            fleet.runFor(6_000);

            fleet.cutOff(0);
            fleet.sendDeadlyRequests(DEADLY_REQUESTS, 6);
            fleet.runFor(DAY_MS);

            long sentLater = fleet.deadlySentAfter(6_000 + STABLE_MS);
            assertTrue(sentLater <= MAX_SENT_LATER, "seed " + seed + ": sent " + sentLater + " times later");
            assertSoundPromptsAreServed(fleet, seed);
        }
    }

    /** Guards against hosts that lose the quarantine when they start again. */
    @Test
    void hostsThatStartAgainDontSendTheRequest() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = smallFleet(33, seed);
            fleet.sendDeadlyRequests(DEADLY_REQUESTS, 6);
            fleet.runFor(10_000);

            fleet.restartHosts(2);
            fleet.runFor(DAY_MS);

            long sentLater = fleet.deadlySentAfterThirdCrash(STABLE_MS);
            assertTrue(sentLater <= MAX_SENT_LATER, "seed " + seed + ": sent " + sentLater + " times later");
            assertSoundPromptsAreServed(fleet, seed);
        }
    }

    /** Guards against a host that sends the request from its queue before it reads what it received while suspended. */
    @Test
    void aPausedHostDoesNotSendTheRequestForLong() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = smallFleet(33, seed);
            fleet.pauseFirstHost(6_000);
            fleet.sendDeadlyRequests(DEADLY_REQUESTS, 6);

            fleet.runFor(DAY_MS);

            long sentLater = fleet.deadlySentAfterThirdCrash(STABLE_MS);
            assertTrue(sentLater <= MAX_SENT_LATER, "seed " + seed + ": sent " + sentLater + " times later");
            assertSoundPromptsAreServed(fleet, seed);
        }
    }

    /** Guards against a quarantine of requests whose servers crash for reasons of their own. */
    @Test
    void enginesThatCrashByThemselvesQuarantineNoRequest() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = smallFleet(33, seed);
            for (int wave = 0; wave < 6; wave++) {
                fleet.runFor(2_000);
                fleet.crashEngines(ENGINES / 3);
            }
            fleet.runFor(10_000);

            assertSoundPromptsAreServed(fleet, seed);
        }
    }
}
