package io.figspan.bench.policy;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.figspan.bench.BenchCommand;
import java.io.PrintStream;
import java.util.List;

/** {@code bin/bench policy}: the decisions under load, in logical time. */
@Parameters(commandDescription = "Measures placement, admission and fairness on a model of the fleet in logical time")
public final class PolicyCommand implements BenchCommand {
    private static final int QUICK_SEEDS = 2;
    private static final int QUICK_SECONDS = 60;

    @Parameter(names = "--quick", description = "Short runs at 85 and 130 percent of capacity only")
    private boolean quick;

    @Parameter(names = "--seeds", description = "Number of seeds, from 1 up")
    private int seeds = 4;

    @Parameter(names = "--seconds", description = "Measured seconds of logical time for each seed")
    private int seconds = 600;

    @Parameter(names = "--help", help = true, description = "Prints this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    @Override
    public boolean run(PrintStream out) {
        if (quick) {
            new PolicyReport(out, QUICK_SEEDS, QUICK_SECONDS).print(List.of(PolicyReport.TARGET_LOAD, 1.3));
            return true;
        }
        new PolicyReport(out, seeds, seconds).print(PolicyReport.LOADS);
        return true;
    }
}
