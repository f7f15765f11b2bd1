package io.figspan.cli;

import io.figspan.cli.caller.LoadCommand;
import io.figspan.cli.caller.StandinsCommand;
import java.util.List;

/** The commands of {@code figspan}, in the order of the help text. */
public final class Commands {
    private Commands() {}

    /** New instances of all commands. */
    public static List<Command> all() {
        return List.of(new LoadCommand(), new StandinsCommand());
    }
}
