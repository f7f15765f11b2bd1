package io.figspan.bench.faults;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.figspan.bench.BenchCommand;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.LoggerFactory;

/** {@code bin/bench faults}: counts violations of the guarantees under seeded faults. */
@Parameters(commandDescription = "Checks the guarantees under seeded faults in logical time, real and naive versions")
public final class FaultsCommand implements BenchCommand {
    private static final int MAX_FAILURES_SHOWN = 5;

    @Parameter(names = "--seeds", description = "Number of seeds for each scenario")
    private int seeds = 1_000;

    @Parameter(names = "--seed", description = "First seed")
    private long firstSeed = 1;

    @Parameter(names = "--scenario", description = "Runs only this scenario, such as orders or orders-no-void")
    private String scenario;

    @Parameter(names = "--no-naive", description = "Leaves the naive versions out")
    private boolean withoutNaive;

    @Parameter(names = "--trace", description = "Prints the events of each run")
    private boolean trace;

    @Parameter(names = "--help", help = true, description = "Prints this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    /** Runs the scenarios and returns true when no real one violated a guarantee. */
    @Override
    public boolean run(PrintStream out) {
        silenceLogs();
        List<Variant> variants = Variant.ALL.stream()
                .filter(variant -> scenario == null || variant.name().equals(scenario))
                .filter(variant -> !withoutNaive || !variant.naive())
                .toList();
        if (variants.isEmpty()) {
            out.println("No scenario is named " + scenario + "; known: "
                    + Variant.ALL.stream().map(Variant::name).collect(Collectors.joining(", ")));
            return false;
        }
        boolean held = true;
        for (Variant variant : variants) {
            held &= runVariant(variant, out) || variant.naive();
        }
        out.println(held ? "All guarantees held." : "A guarantee was violated.");
        return held;
    }

    /** The classes under test log each fault that a scenario causes, thousands of times in a run. */
    static void silenceLogs() {
        ((Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(Level.OFF);
    }

    private boolean runVariant(Variant variant, PrintStream out) {
        Consumer<String> sink = trace ? line -> out.println("  " + line) : line -> {};
        List<Long> failedSeeds = new ArrayList<>();
        Map<Count, Integer> totals = new EnumMap<>(Count.class);
        long steps = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            FaultRun faultRun = new FaultRun(seed, variant.scenario().get(), sink).run();
            steps += faultRun.steps();
            boolean failed = false;
            for (Count kind : Count.values()) {
                totals.merge(kind, faultRun.violations(kind), Integer::sum);
                failed |= faultRun.violations(kind) > 0;
            }
            if (failed) {
                failedSeeds.add(seed);
            }
        }
        String counts = variant.counts().stream()
                .map(kind -> kind.title() + " " + totals.get(kind))
                .collect(Collectors.joining(", "));
        out.printf(
                "%-22s %-12s %s: %d seeds, %d steps, %d seeds with violations: %s%n",
                variant.name(),
                variant.guarantees(),
                variant.naive() ? "naive" : "real ",
                seeds,
                steps,
                failedSeeds.size(),
                counts);
        if (!variant.naive()) {
            failedSeeds.stream()
                    .limit(MAX_FAILURES_SHOWN)
                    .forEach(seed -> out.printf(
                            "  replay: bin/bench faults --scenario %s --seeds 1 --seed %d --trace%n",
                            variant.name(), seed));
        }
        return failedSeeds.isEmpty();
    }
}
