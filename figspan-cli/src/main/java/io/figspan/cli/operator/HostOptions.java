package io.figspan.cli.operator;

import com.beust.jcommander.Parameter;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.settings.cfg.PeerAddress;
import java.util.List;

/** Flags of commands that read hosts. */
public final class HostOptions {
    @Parameter(
            names = "--host",
            description = "ADDRESS:PORT of a host; may be repeated or hold several with commas",
            required = true)
    private List<String> hosts;

    @Parameter(names = "--timeout-ms", description = "Time for the answers of all hosts, from 1 to 60000 ms")
    private int timeoutMs = 2_000;

    List<PeerAddress> addresses() {
        try {
            return hosts.stream().map(PeerAddress::parse).toList();
        } catch (FigspanException e) {
            throw usage("--host: " + e.detail());
        }
    }

    int timeoutMs() {
        if (timeoutMs < 1 || timeoutMs > 60_000) {
            throw usage("--timeout-ms: " + timeoutMs + " is outside 1 to 60000");
        }
        return timeoutMs;
    }

    static FigspanException usage(String detail) {
        return new FigspanException(ProblemKind.USAGE, detail, Location.of("command line"));
    }
}
