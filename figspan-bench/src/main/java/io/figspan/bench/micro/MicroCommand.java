package io.figspan.bench.micro;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.figspan.bench.BenchCommand;
import java.io.PrintStream;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** {@code bin/bench micro}: time and allocations of single decisions, by JMH. */
@Parameters(commandDescription = "Measures time and allocations of single decisions with JMH")
public final class MicroCommand implements BenchCommand {
    private static final int ITERATIONS = 5;

    @Parameter(names = "--quick", description = "One short iteration without a forked process")
    private boolean quick;

    @Parameter(names = "--include", description = "Regular expression of the benchmarks to run")
    private String include = "io.figspan.bench.micro";

    @Parameter(names = "--help", help = true, description = "Prints this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    @Override
    public boolean run(PrintStream out) {
        ChainedOptionsBuilder options = new OptionsBuilder()
                .include(include)
                .addProfiler(GCProfiler.class)
                .threads(1)
                .forks(quick ? 0 : 1)
                .warmupIterations(quick ? 1 : ITERATIONS)
                .warmupTime(TimeValue.milliseconds(quick ? 200 : 1_000))
                .measurementIterations(quick ? 1 : ITERATIONS)
                .measurementTime(TimeValue.milliseconds(quick ? 200 : 1_000));
        try {
            return !new Runner(options.build()).run().isEmpty();
        } catch (RunnerException e) {
            out.println("a benchmark failed: " + e.getMessage());
            return false;
        }
    }
}
