package io.figspan.host;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.figspan.core.error.FigspanException;
import io.figspan.core.event.Part;
import io.figspan.host.entry.EntryServer;
import io.figspan.settings.cfg.HostConfig;
import io.figspan.settings.cfg.HostConfigReader;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Entry point of {@code figspand}. Exit code 2 means wrong usage or an invalid host file, 1 a failed start. */
public final class Main {
    private static final Logger LOG = LoggerFactory.getLogger(Main.class);
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Parameter(names = "--config", required = true, description = "host file of this process")
    private String config;

    @Parameter(names = "--help", help = true, description = "print this help")
    private boolean help;

    private Main() {}

    public static void main(String[] args) {
        Main main = new Main();
        JCommander parser =
                JCommander.newBuilder().addObject(main).programName("figspand").build();
        try {
            parser.parse(args);
            if (main.help) {
                parser.usage();
                return;
            }
            main.run(HostConfigReader.readFile(Path.of(main.config)));
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (FigspanException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private void run(HostConfig hostConfig) {
        HostProcess.create(hostConfig, EntryServer.Limits.DEFAULT)
                .compose(process -> {
                    Runtime.getRuntime()
                            .addShutdownHook(new Thread(
                                    () -> awaitShutdown(process, hostConfig.shutdownGraceSeconds()), "shutdown"));
                    return process.start();
                })
                .onFailure(cause -> {
                    LOG.error("{} start failed: {}", Part.ENTRY.logPrefix(), cause.getMessage());
                    Runtime.getRuntime().halt(EXIT_FAILED);
                });
    }

    private static void awaitShutdown(HostProcess process, int graceSeconds) {
        CountDownLatch done = new CountDownLatch(1);
        process.shutDown().onComplete(result -> done.countDown());
        try {
            if (!done.await(graceSeconds, TimeUnit.SECONDS)) {
                LOG.warn("{} shutdown ends with requests in flight", Part.ENTRY.logPrefix());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
