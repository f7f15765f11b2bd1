package io.figspan.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.figspan.bench.faults.FaultsCommand;
import io.figspan.bench.micro.MicroCommand;
import io.figspan.bench.placing.PlacingCommand;
import io.figspan.bench.policy.PolicyCommand;
import io.figspan.bench.slopes.NodesCommand;
import io.figspan.bench.slopes.RolesCommand;
import io.figspan.bench.slopes.SlopesCommand;
import java.util.LinkedHashMap;
import java.util.Map;

/** Entry point of {@code bin/bench}: dispatches to the subcommands. Exits 1 when something that was checked failed. */
public final class BenchMain {
    private static final int EXIT_VIOLATED = 1;
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    public static void main(String[] args) {
        Map<String, BenchCommand> commands = new LinkedHashMap<>();
        commands.put("policy", new PolicyCommand());
        commands.put("placing", new PlacingCommand());
        commands.put("faults", new FaultsCommand());
        commands.put("slopes", new SlopesCommand());
        commands.put("roles", new RolesCommand());
        commands.put("nodes", new NodesCommand());
        commands.put("micro", new MicroCommand());
        JCommander.Builder builder = JCommander.newBuilder().programName("bin/bench");
        commands.forEach(builder::addCommand);
        JCommander commander = builder.build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage() + ". Run bin/bench with a subcommand and --help.");
            System.exit(EXIT_USAGE);
        }
        BenchCommand command = commands.get(commander.getParsedCommand());
        if (command == null || command.help()) {
            commander.usage();
            return;
        }
        System.exit(command.run(System.out) ? 0 : EXIT_VIOLATED);
    }
}
