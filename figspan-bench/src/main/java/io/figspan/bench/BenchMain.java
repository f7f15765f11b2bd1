package io.figspan.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.figspan.bench.faults.FaultsCommand;
import io.figspan.bench.micro.MicroCommand;
import io.figspan.bench.policy.PolicyCommand;
import org.openjdk.jmh.runner.RunnerException;

/** Entry point of {@code bin/bench}: dispatches to the subcommands. */
public final class BenchMain {
    private static final int EXIT_VIOLATED = 1;
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    public static void main(String[] args) throws RunnerException {
        PolicyCommand policy = new PolicyCommand();
        FaultsCommand faults = new FaultsCommand();
        MicroCommand micro = new MicroCommand();
        JCommander commander = JCommander.newBuilder()
                .programName("bin/bench")
                .addCommand("policy", policy)
                .addCommand("faults", faults)
                .addCommand("micro", micro)
                .build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage() + ". Run bin/bench with a subcommand and --help.");
            System.exit(EXIT_USAGE);
        }
        String command = commander.getParsedCommand();
        if ("faults".equals(command) && !faults.help()) {
            System.exit(faults.run(System.out) ? 0 : EXIT_VIOLATED);
        } else if ("policy".equals(command) && !policy.help()) {
            policy.run(System.out);
        } else if ("micro".equals(command) && !micro.help()) {
            micro.run();
        } else {
            commander.usage();
        }
    }
}
