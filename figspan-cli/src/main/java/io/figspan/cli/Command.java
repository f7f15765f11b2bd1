package io.figspan.cli;

import io.figspan.core.error.FigspanException;
import java.util.EnumSet;
import java.util.Set;

/**
 * One command of {@code figspan}. Its flags are fields with JCommander's annotations. An instance runs once.
 *
 * <p>A command is registered in {@link Commands}. {@link Main} parses the flags, answers {@code --help} and turns a
 * {@link FigspanException} into a message and an exit code.
 */
public interface Command {
    /** The words that select the command, such as {@code settings check}. */
    String name();

    /** One line that says what the command does. */
    String summary();

    /** The flags of all commands; an implementation holds them in a field with {@code @ParametersDelegate}. */
    CommonOptions common();

    /** Exit codes that the command can return, for {@code --help}. */
    default Set<ExitCode> exitCodes() {
        return EnumSet.of(ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE);
    }

    /** Whether the list of commands leaves it out. */
    default boolean isHidden() {
        return false;
    }

    /** Runs the command after its flags have been set. */
    ExitCode run(Console console);
}
