package io.figspan.bench.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Results of the driver in logical time, which are the same in each run, against the targets of section 3.10 of the
 * design page. A change of the policy that gives a target up again fails here. Targets that are missed today are in
 * docs/benchmarks.md and not here.
 */
class PolicyTargetsTest {
    private static final int SEEDS = 2;
    private static final int SECONDS = 300;
    private static final Scenario AT_TARGET_LOAD =
            Scenario.of(Deployment.DRIFTGLASS, Scheme.CURRENT, PolicyReport.TARGET_LOAD, 1, SECONDS);

    @Test
    void theFirstTokenComesWithinTheTargetAndLongPromptsFinishInTime() {
        Outcome outcome = PolicyReport.run(AT_TARGET_LOAD, SEEDS);
        assertTrue(outcome.all.getValueAtPercentile(95) <= 1_400_000, "p95 " + outcome.all.getValueAtPercentile(95));
        assertTrue(outcome.longInTime() >= 0.99, "long in time " + outcome.longInTime());
    }

    @Test
    void longPromptsSlowEachShortClassByAtMostAQuarter() {
        Outcome outcome = PolicyReport.run(AT_TARGET_LOAD, SEEDS);
        Outcome alone = PolicyReport.run(AT_TARGET_LOAD.withOnlyShort(), SEEDS);
        for (LengthClass lengthClass : LengthClass.values()) {
            if (lengthClass.isShort()) {
                double slowdown = PolicyReport.slowdownValue(outcome, alone, lengthClass);
                assertTrue(slowdown <= 1.25, lengthClass.label() + " slowed " + slowdown);
            }
        }
    }

    @Test
    void goodputUnderOverloadStaysNearThatAtCapacity() {
        for (Deployment deployment : Deployment.values()) {
            double full = goodput(deployment, 1.0);
            double over = goodput(deployment, 1.3);
            assertTrue(over >= 0.95 * full, deployment + " " + over + " after " + full);
        }
    }

    private static double goodput(Deployment deployment, double load) {
        return PolicyReport.run(Scenario.of(deployment, Scheme.CURRENT, load, 1, SECONDS), SEEDS)
                .goodputTokensPerSecond();
    }

    @Test
    void theSameSeedGivesTheSameFiguresForEachPolicy() {
        for (Scheme scheme : Scheme.values()) {
            Scenario scenario = Scenario.of(Deployment.PINHOLE, scheme, 0.7, 3, 30);
            Outcome first = FleetDriver.run(scenario);
            Outcome second = FleetDriver.run(scenario);
            assertEquals(first.all, second.all);
            assertEquals(first.refusals, second.refusals);
            assertEquals(first.goodputTokensPerSecond(), second.goodputTokensPerSecond());
        }
    }
}
