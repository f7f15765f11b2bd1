package io.figspan.bench.policy;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Runs the scenarios of {@code bin/bench policy} and prints their figures as tables. */
final class PolicyReport {
    /** Organisation that sends ten times its share in the runs on fairness; it is entitled to 8 percent. */
    static final int GREEDY = 3;

    static final double TARGET_LOAD = 0.85;
    static final List<Double> LOADS = List.of(0.5, 0.7, TARGET_LOAD, 1.0, 1.3);

    private static final List<Long> LAGS_MS = List.of(500L, 2_000L, 5_000L);
    private static final List<Integer> HOSTS = List.of(1, 3, 7, 14);
    /** Runs at a time; the machine is shared. */
    private static final int THREADS = 4;

    private final PrintStream out;
    private final int seeds;
    private final int seconds;

    PolicyReport(PrintStream out, int seeds, int seconds) {
        this.out = out;
        this.seeds = seeds;
        this.seconds = seconds;
    }

    /** Runs a scenario for each seed from 1 and adds up the outcomes. */
    static Outcome run(Scenario scenario, int seeds) {
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<Callable<Outcome>> runs = new ArrayList<>();
            for (int seed = 1; seed <= seeds; seed++) {
                Scenario seeded = scenario.withSeed(seed);
                runs.add(() -> FleetDriver.run(seeded));
            }
            Outcome sum = new Outcome();
            for (Future<Outcome> run : threads.invokeAll(runs)) {
                sum.add(run.get());
            }
            return sum;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while scenarios run", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a scenario failed", e.getCause());
        } finally {
            threads.shutdownNow();
        }
    }

    void print(List<Double> loads) {
        for (Deployment deployment : Deployment.values()) {
            line(
                    "# %s, capacity %.1f requests/s, %d seeds of %d s",
                    name(deployment), deployment.capacityPerSecond(), seeds, seconds);
            for (double load : loads) {
                for (Scheme scheme : Scheme.values()) {
                    printLoad(Scenario.of(deployment, scheme, load, 1, seconds));
                }
            }
            printFairness(Scenario.of(deployment, Scheme.CURRENT, TARGET_LOAD, 1, seconds));
            printSensitivity(Scenario.of(deployment, Scheme.CURRENT, TARGET_LOAD, 1, seconds));
        }
    }

    private void printLoad(Scenario scenario) {
        Outcome outcome = run(scenario, seeds);
        Outcome alone = run(scenario.withOnlyShort(), seeds);
        line("");
        line(
                "## %s, %.0f%% of capacity, %s",
                name(scenario.deployment()), 100 * scenario.load(), name(scenario.scheme()));
        line(
                "%-6s %9s %9s %9s %9s %9s %9s %9s %9s %9s",
                "class", "p50 ms", "p95 ms", "p99 ms", "p50 x", "p95 x", "p99 x", "slowdown", "admitted", "in time");
        for (LengthClass lengthClass : LengthClass.values()) {
            line(
                    "%-6s %9.0f %9.0f %9.0f %9.2f %9.2f %9.2f %9s %9.3f %9.3f",
                    lengthClass.label(),
                    outcome.firstTokenMs(lengthClass, 50),
                    outcome.firstTokenMs(lengthClass, 95),
                    outcome.firstTokenMs(lengthClass, 99),
                    outcome.multiple(lengthClass, 50),
                    outcome.multiple(lengthClass, 95),
                    outcome.multiple(lengthClass, 99),
                    slowdown(outcome, alone, lengthClass),
                    outcome.admittedShare(lengthClass),
                    outcome.inTimeShare(lengthClass));
        }
        line(
                "total p95 %.0f ms; long in time %.4f; goodput %.0f tokens/s; wasted %.0f tokens; hits %.3f; "
                        + "refusals %s",
                outcome.all.getValueAtPercentile(95) / 1e3,
                outcome.longInTime(),
                outcome.goodputTokensPerSecond(),
                outcome.wastedTokens,
                outcome.hitRatio(),
                outcome.refusals);
    }

    private void printFairness(Scenario scenario) {
        Outcome usual = run(scenario, seeds);
        Outcome greedy = run(scenario.withGreedy(GREEDY), seeds);
        line("");
        line(
                "## %s, fairness at %.0f%% when one organisation sends ten times its share",
                name(scenario.deployment()), 100 * scenario.load());
        line("%-6s %14s %14s %18s", "class", "others p50", "others p95", "worst of one p95");
        for (LengthClass lengthClass : LengthClass.values()) {
            if (lengthClass.isShort()) {
                line(
                        "%-6s %14.2f %14.2f %18.2f",
                        lengthClass.label(),
                        othersRatio(greedy, usual, lengthClass, 50),
                        othersRatio(greedy, usual, lengthClass, 95),
                        worstRatio(greedy, usual, lengthClass));
            }
        }
        line(
                "worst served part of an organisation within its share %.3f (without the greedy one %.3f); refusals %s",
                greedy.worstServedShare(GREEDY), usual.worstServedShare(GREEDY), greedy.refusals);
    }

    private void printSensitivity(Scenario scenario) {
        line("");
        line("## %s, report lag and number of hosts at %.0f%%", name(scenario.deployment()), 100 * scenario.load());
        line(
                "%-12s %10s %10s %10s %10s %10s %10s %12s",
                "case", "1k p95", "4k p95", "16k p95", "64k p95", "256k p95", "all p95", "long in time");
        for (long lagMs : LAGS_MS) {
            printCase(lagMs + " ms", run(scenario.withLagMs(lagMs), seeds));
        }
        for (int hosts : HOSTS) {
            printCase(hosts + " hosts", run(scenario.withHosts(hosts), seeds));
        }
        line("");
    }

    private void printCase(String name, Outcome outcome) {
        line(
                "%-12s %10.0f %10.0f %10.0f %10.0f %10.0f %10.0f %12.4f",
                name,
                outcome.firstTokenMs(LengthClass.K1, 95),
                outcome.firstTokenMs(LengthClass.K4, 95),
                outcome.firstTokenMs(LengthClass.K16, 95),
                outcome.firstTokenMs(LengthClass.K64, 95),
                outcome.firstTokenMs(LengthClass.K256, 95),
                outcome.all.getValueAtPercentile(95) / 1e3,
                outcome.longInTime());
    }

    static double slowdownValue(Outcome outcome, Outcome alone, LengthClass lengthClass) {
        return outcome.firstTokenMs(lengthClass, 95) / alone.firstTokenMs(lengthClass, 95);
    }

    private static String slowdown(Outcome outcome, Outcome alone, LengthClass lengthClass) {
        return lengthClass.isShort()
                ? String.format(Locale.ROOT, "%.2f", slowdownValue(outcome, alone, lengthClass))
                : "-";
    }

    static double othersRatio(Outcome greedy, Outcome usual, LengthClass lengthClass, double percentile) {
        return (double) greedy.others(lengthClass, GREEDY).getValueAtPercentile(percentile)
                / usual.others(lengthClass, GREEDY).getValueAtPercentile(percentile);
    }

    private static double worstRatio(Outcome greedy, Outcome usual, LengthClass lengthClass) {
        double worst = 0;
        for (int i = 0; i < Deployment.SHARES.length; i++) {
            if (i != GREEDY) {
                double with = greedy.byOrganisation.get(lengthClass).get(i).getValueAtPercentile(95);
                double without = usual.byOrganisation.get(lengthClass).get(i).getValueAtPercentile(95);
                worst = Math.max(worst, with / without);
            }
        }
        return worst;
    }

    private void line(String format, Object... values) {
        out.println(String.format(Locale.ROOT, format, values));
    }

    private static String name(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
