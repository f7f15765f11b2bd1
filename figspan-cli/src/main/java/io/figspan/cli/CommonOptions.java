package io.figspan.cli;

import com.beust.jcommander.Parameter;

/** Flags that all commands have. */
public final class CommonOptions {
    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Show the flags and exit codes")
    private boolean help;

    @Parameter(names = "--json", description = "Print one JSON document instead of text")
    private boolean json;

    public boolean help() {
        return help;
    }

    public boolean json() {
        return json;
    }
}
