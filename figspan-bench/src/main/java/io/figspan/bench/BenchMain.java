package io.figspan.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.figspan.bench.faults.FaultsCommand;
import io.figspan.bench.micro.MicroCommand;
import io.figspan.bench.policy.PolicyCommand;
<<<<<<< HEAD
import org.openjdk.jmh.runner.RunnerException;
=======
import io.figspan.bench.slopes.NodesCommand;
import io.figspan.bench.slopes.SlopesCommand;
import java.util.LinkedHashMap;
import java.util.Map;
>>>>>>> main

/** Entry point of {@code bin/bench}: dispatches to the subcommands. Exits 1 when something that was checked failed. */
public final class BenchMain {
    private static final int EXIT_VIOLATED = 1;
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

<<<<<<< HEAD
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
=======
    public static void main(String[] args) {
        Map<String, BenchCommand> commands = new LinkedHashMap<>();
        commands.put("policy", new PolicyCommand());
        commands.put("faults", new FaultsCommand());
        commands.put("slopes", new SlopesCommand());
        commands.put("nodes", new NodesCommand());
        JCommander.Builder builder = JCommander.newBuilder().programName("bin/bench");
        commands.forEach(builder::addCommand);
        JCommander commander = builder.build();
>>>>>>> main
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage() + ". Run bin/bench with a subcommand and --help.");
            System.exit(EXIT_USAGE);
        }
<<<<<<< HEAD
        String command = commander.getParsedCommand();
        if ("faults".equals(command) && !faults.help()) {
            System.exit(faults.run(System.out) ? 0 : EXIT_VIOLATED);
        } else if ("policy".equals(command) && !policy.help()) {
            policy.run(System.out);
        } else if ("micro".equals(command) && !micro.help()) {
            micro.run();
        } else {
=======
        BenchCommand command = commands.get(commander.getParsedCommand());
        if (command == null || command.help()) {
>>>>>>> main
            commander.usage();
        }
<<<<<<< HEAD
=======
        System.exit(command.run(System.out) ? 0 : EXIT_VIOLATED);
>>>>>>> main
    }
}
