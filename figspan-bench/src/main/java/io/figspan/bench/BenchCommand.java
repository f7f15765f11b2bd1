package io.figspan.bench;

import java.io.PrintStream;

/** One subcommand of {@code bin/bench}. Its parameters are annotated for JCommander. */
public interface BenchCommand {
    /** Whether only the help text was asked for. */
    boolean help();

    /** Runs the benchmark and returns whether everything that it checks held. */
    boolean run(PrintStream out);
}
