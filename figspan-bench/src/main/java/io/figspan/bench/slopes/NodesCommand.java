package io.figspan.bench.slopes;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.figspan.bench.BenchCommand;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;

/** {@code bin/bench nodes}: membership and settings nodes over real loopback sockets, in a few processes. */
@Parameters(commandDescription = "Runs membership and settings nodes over loopback sockets and measures each")
public final class NodesCommand implements BenchCommand {
    private static final int JOIN_LIMIT_SECONDS = 120;
    private static final int CHANGE_SECONDS = 5;
    private static final int STATS_FIELDS = 4;
    private static final double HEADER_BYTES = 52 * 1.5;

    @Parameter(names = "--count", description = "Number of nodes")
    private int count = 200;

    @Parameter(names = "--processes", description = "Number of processes that share the nodes")
    private int processes = 4;

    @Parameter(names = "--rest-seconds", description = "Measured seconds without events")
    private int restSeconds = 30;

    @Parameter(names = "--settle-seconds", description = "Seconds between the join and the first measurement")
    private int settleSeconds = 120;

    @Parameter(names = "--changes", description = "Number of settings changes")
    private int changes = 10;

    @Parameter(names = "--restarts", description = "Number of nodes restarted in the churn part, one each 3 s")
    private int restarts = 10;

    @Parameter(names = "--part-bytes", description = "Size of the settings part in which one line changes")
    private int partBytes = 100_000;

    @Parameter(names = "--base-port", description = "First of the consecutive ports on 127.0.0.1")
    private int basePort = 21_000;

    @Parameter(names = "--worker", hidden = true)
    private int worker = -1;

    @Parameter(names = "--help", help = true, description = "Prints this help")
    private boolean help;

    private final List<WorkerProcess> workers = new ArrayList<>();

    /** Counters of all nodes, one entry for each. */
    private record Stats(List<long[]> nodes, long processorNanos, long atNanos) {}

    @Override
    public boolean help() {
        return help;
    }

    @Override
    public boolean run(PrintStream out) {
        if (worker >= 0) {
            runWorker(out);
            return true;
        }
        try {
            for (int i = 0; i < processes; i++) {
                workers.add(new WorkerProcess(workerArguments(i)));
            }
            coordinate(out);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            workers.forEach(WorkerProcess::close);
        }
        return true;
    }

    private void runWorker(PrintStream out) {
        try {
            new NodeWorker(worker, processes, count, basePort, partBytes).run(System.in, out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private List<String> workerArguments(int index) {
        String java = ProcessHandle.current().info().command().orElse("java");
        return List.of(
                java,
                "-Xmx1500m",
                "-cp",
                System.getProperty("java.class.path"),
                "io.figspan.bench.BenchMain",
                "nodes",
                "--worker",
                String.valueOf(index),
                "--processes",
                String.valueOf(processes),
                "--count",
                String.valueOf(count),
                "--base-port",
                String.valueOf(basePort),
                "--part-bytes",
                String.valueOf(partBytes));
    }

    private void coordinate(PrintStream out) throws InterruptedException {
        long start = System.nanoTime();
        askAll("start");
        awaitViews();
        out.printf(
                Locale.ROOT,
                "%d nodes in %d processes on 127.0.0.1; all see all after %.1f s; settings part of %d bytes%n%n",
                count,
                processes,
                seconds(System.nanoTime() - start),
                partBytes);
        publish(1);
        TimeUnit.SECONDS.sleep(settleSeconds);
        out.println("| figure for each node | mean | largest |");
        out.println("|---|---:|---:|");
        Stats before = stats();
        TimeUnit.SECONDS.sleep(restSeconds);
        print(out, "at rest", before, stats());
        Histogram reach = new Histogram(3);
        before = stats();
        int missing = 0;
        for (int change = 0; change < changes; change++) {
            missing += measureChange(2L + change, reach);
        }
        print(out, "one settings change each " + CHANGE_SECONDS + " s", before, stats());
        before = stats();
        for (int restart = 0; restart < restarts; restart++) {
            askAll("restart " + (7 + restart * 13) % count);
            TimeUnit.SECONDS.sleep(3);
        }
        print(out, "one restart each 3 s", before, stats());
        printReach(out, reach, missing);
        awaitViews();
        out.println("After the restarts all nodes see all again.");
    }

    private void printReach(PrintStream out, Histogram reach, int missing) {
        out.printf(
                Locale.ROOT,
                "%nTime from publication to adoption over %d changes and %d nodes: median %.0f ms, p90 %.0f ms, "
                        + "p99 %.0f ms, largest %.0f ms; not adopted within %d s: %d%n",
                changes,
                count,
                reach.getValueAtPercentile(50) / 1e3,
                reach.getValueAtPercentile(90) / 1e3,
                reach.getValueAtPercentile(99) / 1e3,
                reach.getMaxValue() / 1e3,
                CHANGE_SECONDS,
                missing);
    }

    private void print(PrintStream out, String phase, Stats from, Stats to) {
        double lengthSeconds = seconds(to.atNanos() - from.atNanos());
        double[] sent = new double[count];
        double[] received = new double[count];
        double[] wire = new double[count];
        double[] connections = new double[count];
        for (int i = 0; i < count; i++) {
            long[] a = from.nodes().get(i);
            long[] b = to.nodes().get(i);
            boolean restarted = b[0] < a[0];
            long[] base = restarted ? new long[STATS_FIELDS] : a;
            sent[i] = (b[1] - base[1]) / lengthSeconds;
            received[i] = (b[2] - base[2]) / lengthSeconds;
            wire[i] = sent[i] + (b[0] - base[0]) * HEADER_BYTES / lengthSeconds;
            connections[i] = b[3];
        }
        line(out, phase + ": frame bytes/s sent", sent);
        line(out, phase + ": frame bytes/s received", received);
        line(out, phase + ": bytes/s sent with TCP/IP headers (estimate)", wire);
        line(out, phase + ": connections opened since start", connections);
        double core = (to.processorNanos() - from.processorNanos()) / 1e9 / lengthSeconds / count;
        out.printf(Locale.ROOT, "| %s: processor, %% of a core | %.3f | |%n", phase, core * 100);
        out.printf(Locale.ROOT, "| %s: heap, MB | %.2f | |%n", phase, sumAll("heap") / 1e6 / count);
    }

    private static void line(PrintStream out, String name, double[] values) {
        double mean = Arrays.stream(values).average().orElse(0);
        double largest = Arrays.stream(values).max().orElse(0);
        out.printf(Locale.ROOT, "| %s | %.1f | %.1f |%n", name, mean, largest);
    }

    private int measureChange(long version, Histogram reach) throws InterruptedException {
        long startNanos = publish(version);
        TimeUnit.SECONDS.sleep(CHANGE_SECONDS);
        int missing = 0;
        for (String line : askAll("adoptions " + version)) {
            for (String atNanos : line.split(" ", -1)) {
                if (atNanos.equals("-")) {
                    missing++;
                } else {
                    reach.recordValue(Math.max(0, (Long.parseLong(atNanos) - startNanos) / 1_000));
                }
            }
        }
        return missing;
    }

    /** Publishes in each process and returns when; the monotonic clock is the same in all processes of a machine. */
    private long publish(long version) {
        long startNanos = System.nanoTime();
        askAll("publish " + version);
        return startNanos;
    }

    private Stats stats() {
        long processorNanos = sumAll("processor");
        List<long[]> nodes = new ArrayList<>();
        for (String line : askAll("stats")) {
            long[] numbers = numbers(line);
            for (int i = 0; i < numbers.length; i += STATS_FIELDS) {
                nodes.add(Arrays.copyOfRange(numbers, i, i + STATS_FIELDS));
            }
        }
        return new Stats(nodes, processorNanos, System.nanoTime());
    }

    private void awaitViews() throws InterruptedException {
        for (int second = 0; second < JOIN_LIMIT_SECONDS; second++) {
            long complete = sumAll("views");
            if (complete == count) {
                return;
            }
            TimeUnit.SECONDS.sleep(1);
        }
        throw new IllegalStateException("the nodes have not found each other within " + JOIN_LIMIT_SECONDS + " s");
    }

    private List<String> askAll(String command) {
        workers.forEach(process -> process.send(command));
        return workers.stream().map(WorkerProcess::receive).toList();
    }

    private long sumAll(String command) {
        return askAll(command).stream().mapToLong(Long::parseLong).sum();
    }

    private static long[] numbers(String line) {
        return Arrays.stream(line.split(" ", -1))
                .flatMapToLong(word -> LongStream.of(Long.parseLong(word)))
                .toArray();
    }

    private static double seconds(long nanos) {
        return nanos / 1e9;
    }
}
