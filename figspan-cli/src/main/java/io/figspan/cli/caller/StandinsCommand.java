package io.figspan.cli.caller;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import io.figspan.cli.Command;
import io.figspan.cli.CommonOptions;
import io.figspan.cli.Console;
import io.figspan.cli.ExitCode;
import io.figspan.standin.StandinsMain;

/** {@code figspan standins}: runs stand-ins for the platform and the backend servers until it is stopped. */
public final class StandinsCommand implements Command {
    @Parameter(names = "--directory", required = true, description = "directory for host files and addresses")
    private String directory;

    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @Override
    public String name() {
        return "standins";
    }

    @Override
    public String summary() {
        return "Run stand-ins for the platform and the backend servers";
    }

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public boolean isHidden() {
        return true;
    }

    @Override
    public ExitCode run(Console console) {
        StandinsMain.main(new String[] {"--directory", directory});
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }
}
