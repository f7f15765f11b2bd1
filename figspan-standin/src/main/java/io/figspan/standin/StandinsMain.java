package io.figspan.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.event.Part;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts stand-ins for the platform, the engines and the plain services in one process, and writes the configuration
 * files of {@code figspand} processes that use them.
 */
public final class StandinsMain {
    private static final Logger LOG = LoggerFactory.getLogger(StandinsMain.class);
    private static final int EXIT_USAGE = 2;
    private static final long START_TIMEOUT_SECONDS = 20;
    private static final int EVENT_LOOP_THREADS = 3;

    @Parameter(
            names = "--directory",
            required = true,
            description = "directory for the host configuration files and addresses.env")
    private String directory;

    @Parameter(names = "--address", description = "loopback address that all processes bind to")
    private String address = "127.0.0.1";

    @Parameter(names = "--engines", description = "number of engines in each availability zone")
    private int enginesPerZone = 3;

    @Parameter(names = "--services", description = "number of plain services")
    private int services = 2;

    @Parameter(
            names = "--hosts",
            description = "host configuration files to write; hosts are spread over the availability zones in turn")
    private int hosts = 3;

    @Parameter(names = "--keep-seconds", description = "seconds for which callers may cache the list of hosts")
    private int keepSeconds = 2;

    @Parameter(names = "--help", help = true, description = "print this help")
    private boolean help;

    private StandinsMain() {}

    public static void main(String[] args) {
        StandinsMain main = new StandinsMain();
        JCommander parser = JCommander.newBuilder()
                .addObject(main)
                .programName("figspan standins")
                .build();
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
        if (main.help) {
            parser.usage();
            return;
        }
        main.start();
    }

    private void start() {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOP_THREADS));
        StandinFleet fleet = new StandinFleet(vertx, address);
        try {
            fleet.start(enginesPerZone, services)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            List<StandinFiles.HostPorts> hostPorts = StandinFiles.pickPorts(address, hosts);
            fleet.publish(hostPorts);
            new StandinFiles(Path.of(directory), address).write(fleet, hostPorts, keepSeconds);
        } catch (IOException | java.util.concurrent.ExecutionException | TimeoutException e) {
            throw new FigspanException(ProblemKind.INTERNAL, "cannot start the stand-ins", Location.of("standins"), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        LOG.info("{} stand-ins are ready; host configuration files are in {}", Part.STANDIN.logPrefix(), directory);
    }
}
