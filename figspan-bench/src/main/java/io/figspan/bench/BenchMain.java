package io.figspan.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.figspan.bench.faults.FaultsCommand;
import io.figspan.bench.policy.PolicyCommand;

/** Entry point of {@code bin/bench}: dispatches to the subcommands. */
public final class BenchMain {
    private static final int EXIT_VIOLATED = 1;
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    public static void main(String[] args) {
        PolicyCommand policy = new PolicyCommand();
        FaultsCommand faults = new FaultsCommand();
        JCommander commander = JCommander.newBuilder()
                .programName("bin/bench")
                .addCommand("policy", policy)
                .addCommand("faults", faults)
                .build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage() + ". Run bin/bench with a subcommand and --help.");
            System.exit(EXIT_USAGE);
        }
        if ("faults".equals(commander.getParsedCommand()) && !faults.help()) {
            System.exit(faults.run(System.out) ? 0 : EXIT_VIOLATED);
        }
        if (!"policy".equals(commander.getParsedCommand()) || policy.help()) {
            commander.usage();
            return;
        }
        policy.run(System.out);
    }
}
