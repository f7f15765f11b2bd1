package io.figspan.cli;

import io.figspan.cli.caller.LoadCommand;
import io.figspan.cli.caller.OrderCommand;
import io.figspan.cli.caller.PromptCommand;
import io.figspan.cli.caller.StandinsCommand;
import io.figspan.cli.operator.HostsCommand;
import io.figspan.cli.operator.StatusCommand;
import io.figspan.cli.operator.TimelineCommand;
import io.figspan.cli.settings.CheckCommand;
import io.figspan.cli.settings.DiffCommand;
import io.figspan.cli.settings.ExplainCommand;
import java.util.List;

/** The commands of {@code figspan}, in the order of the help text. */
public final class Commands {
    private Commands() {}

    /** New instances of all commands. */
    public static List<Command> all() {
        return List.of(
                new LoadCommand(),
                new PromptCommand(),
                new OrderCommand(),
                new CheckCommand(),
                new ExplainCommand(),
                new DiffCommand(),
                new HostsCommand(),
                new StatusCommand(),
                new TimelineCommand(),
                new StandinsCommand());
    }
}
