package io.figspan.cluster.coldserver;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.coldserver.SimulatedColdFleet.Load;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays hosts in front of cold servers, in logical time; the bound is checked in each sliding second. */
class ColdServersFleetTest {
    private static final int SEEDS = 10;

    /** Seeds of fleets whose play takes seconds. */
    private static final int SEEDS_OF_LARGE_FLEETS = 2;

    private static final long COLD_MS = 20_000;
    private static final long SETTLED_MS = 1_500;
    private static final double MOST = ColdBound.DEFAULT.requests(SimulatedColdFleet.COLD_PER_S);

    /** Requests a second for each host that are more than all cold servers accept. */
    private static final double FLOOD = 30;

    private static int seeds(int hosts) {
        return hosts > 100 ? SEEDS_OF_LARGE_FLEETS : SEEDS;
    }

    private static SimulatedColdFleet joined(Load load, int seed) {
        SimulatedColdFleet fleet = new SimulatedColdFleet(load, seed);
        fleet.joinAll();
        fleet.runFor(SETTLED_MS);
        return fleet;
    }

    private static void assertBound(SimulatedColdFleet fleet, long fromNanos, int seed) {
        int most = fleet.mostInASecond(fromNanos);
        assertTrue(most <= MOST, "seed " + seed + ": " + most + " requests in a second");
    }

    /** Guards against hosts that overrun the rate together, and against a rate that is left unused. */
    @ParameterizedTest
    @CsvSource({"6, 1, 0, 5", "6, 1, 20, 20", "6, 3, 20, 5", "6, 3, 0, 60", "88, 4, 5, 10", "400, 8, 5, 10"})
    void aColdServerGetsMostOfItsRateAndNoMoreThanItsBound(int hosts, int servers, int lossPercent, long messageMs) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            Load load = new Load(hosts, servers, hosts * FLOOD, lossPercent, messageMs);
            SimulatedColdFleet fleet = joined(load, seed);
            long fromNanos = fleet.nowNanos();
            fleet.becomeCold(COLD_MS, 0);
            fleet.runFor(1);
            fleet.startRequests();
            fleet.runFor(3_000);

            double reached = fleet.requestsPerSecond(fromNanos) / SimulatedColdFleet.COLD_PER_S;
            assertBound(fleet, fromNanos, seed);
            assertTrue(reached >= 0.8, "seed " + seed + ": " + reached + " of the rate");
        }
    }

    /** Guards against sides of a partition that use the rate twice, before and after membership has noticed it. */
    @ParameterizedTest
    @CsvSource({"6, 2", "6, 3", "6, 6", "88, 2", "88, 88", "400, 2", "400, 400"})
    void theSidesOfAPartitionKeepTheBoundTogether(int hosts, int sides) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            SimulatedColdFleet fleet = joined(new Load(hosts, 3, hosts * FLOOD, 5, 10), seed);
            fleet.becomeCold(COLD_MS, 0);
            long fromNanos = fleet.nowNanos();
            fleet.runFor(1);
            fleet.startRequests();
            fleet.runFor(2_000);
            fleet.connectOnly((from, to) -> from % sides == to % sides);
            fleet.runFor(2_500);
            fleet.membershipFollows();
            fleet.runFor(3_000);
            fleet.connectOnly((from, to) -> true);
            fleet.runFor(1_000);
            fleet.joinAll();
            fleet.runFor(1_000);

            assertBound(fleet, fromNanos, seed);
        }
    }

    /** Guards against bursts that hosts have saved up when they lose each other just before the requests come. */
    @ParameterizedTest
    @ValueSource(ints = {6, 88, 400})
    void aBurstAfterAPauseAtHostsThatHearNobodyKeepsTheBound(int hosts) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            SimulatedColdFleet fleet = joined(new Load(hosts, 3, hosts * FLOOD, 0, 5), seed);
            fleet.becomeCold(COLD_MS, 0);
            fleet.runFor(3_000);
            fleet.connectOnly((from, to) -> false);
            long fromNanos = fleet.nowNanos();
            fleet.startRequests();
            fleet.runFor(3_000);

            assertBound(fleet, fromNanos, seed);
        }
    }

    /** Guards against a host that receives messages while its own are lost, and uses their parts. */
    @ParameterizedTest
    @ValueSource(ints = {6, 88})
    void aHostWhoseMessagesAreLostKeepsTheBoundWithTheOthers(int hosts) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            SimulatedColdFleet fleet = joined(new Load(hosts, 3, hosts * FLOOD, 0, 5), seed);
            fleet.becomeCold(COLD_MS, 0);
            long fromNanos = fleet.nowNanos();
            fleet.runFor(1);
            fleet.startRequests();
            fleet.runFor(2_000);
            fleet.connectOnly((from, to) -> from % 6 != 0 || to % 6 == 0);
            fleet.runFor(4_000);

            assertBound(fleet, fromNanos, seed);
        }
    }

    /** Guards against a process that uses the whole rate because it doesn't know the other hosts yet. */
    @ParameterizedTest
    @CsvSource({"6, 2", "6, 1", "88, 1", "400, 1"})
    void hostsThatHaveJustStartedKeepTheBoundAlsoInAPartition(int hosts, int restartedStep) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            SimulatedColdFleet fleet = joined(new Load(hosts, 2, hosts * FLOOD, 5, 10), seed);
            fleet.connectOnly((from, to) -> from % 3 == to % 3);
            fleet.runFor(500);
            for (int host = 0; host < hosts; host += restartedStep) {
                fleet.restart(host);
            }
            long fromNanos = fleet.nowNanos();
            fleet.becomeCold(COLD_MS, 0);
            fleet.runFor(1);
            fleet.startRequests();
            fleet.runFor(4_000);
            fleet.connectOnly((from, to) -> true);
            fleet.joinAll();
            fleet.runFor(3_000);

            assertBound(fleet, fromNanos, seed);
        }
    }

    /** Guards against a zone whose servers are overrun, or hold requests up, when they return together in a burst. */
    @ParameterizedTest
    @CsvSource({"6, 7", "88, 20", "400, 24"})
    void aZoneThatReturnsColdDuringABurstGetsItsRateAndTheOthersTheRest(int hosts, int servers) {
        for (int seed = 0; seed < seeds(hosts); seed++) {
            double coldRate = servers * SimulatedColdFleet.COLD_PER_S;
            SimulatedColdFleet fleet = joined(new Load(hosts, servers, 6 * coldRate, 5, 10), seed);
            fleet.setWarmCapacity(2 * coldRate);
            fleet.becomeCold(COLD_MS, 0);
            long fromNanos = fleet.nowNanos();
            fleet.runFor(1);
            fleet.startRequests();
            fleet.runFor(3_000);

            double reached = fleet.requestsPerSecond(fromNanos) / SimulatedColdFleet.COLD_PER_S;
            assertBound(fleet, fromNanos, seed);
            assertTrue(reached >= 0.8, "seed " + seed + ": " + reached + " of the rate");
            assertTrue(fleet.rejected() > 0, "seed " + seed + ": nothing was rejected");
        }
    }

    /** Guards against hosts that go on as before while only one host knows that a server has become cold. */
    @Test
    void oneResponseTellsAllHosts() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedColdFleet fleet = joined(new Load(88, 1, 88 * FLOOD, 5, 10), seed);
            fleet.respondCold(seed, 0, COLD_MS);
            fleet.runFor(500);
            long fromNanos = fleet.nowNanos();
            fleet.startRequests();
            fleet.runFor(2_000);

            assertBound(fleet, fromNanos, seed);
        }
    }

    /** Guards against rates and bounds other than the usual ones. */
    @ParameterizedTest
    @CsvSource({"1, 1.5, 5", "4, 1.5, 5", "100, 1.5, 5", "26, 1, 0", "26, 1.2, 2", "1, 1, 0"})
    void anyBoundIsKeptByHostsThatHearNobody(double coldPerSecond, double overrun, double slack) {
        ColdBound bound = new ColdBound(overrun, slack);
        for (int seed = 0; seed < SEEDS; seed++) {
            Load load = new Load(14, 2, 14 * FLOOD, 0, 5);
            SimulatedColdFleet fleet = new SimulatedColdFleet(load, coldPerSecond, bound, seed);
            fleet.joinAll();
            fleet.runFor(SETTLED_MS);
            fleet.becomeCold(COLD_MS, 0);
            fleet.runFor(3_000);
            fleet.connectOnly((from, to) -> false);
            fleet.startRequests();
            fleet.runFor(3_000);

            int most = fleet.mostInASecond(0);
            assertTrue(most <= bound.requests(coldPerSecond), "seed " + seed + ": " + most + " requests in a second");
        }
    }
}
