package io.figspan.cli;

import java.util.List;

/** The commands of {@code figspan}, in the order of the help text. */
public final class Commands {
    private Commands() {}

    /** New instances of all commands. */
    public static List<Command> all() {
        return List.of();
    }
}
