package io.figspan.bench.slopes;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.wire.WireStats;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.LoggerFactory;

/**
 * Runs a share of the nodes in one process. It reads one command a line and answers each with one line, so that the
 * coordinator can drive several workers.
 */
final class NodeWorker {
    /** Event loops of one worker; each node stays on one of them. */
    private static final int LOOPS = 2;

    private final int count;
    private final int basePort;
    private final int partBytes;
    private final BehaviorProcessor<SettingsContent> published = BehaviorProcessor.create();
    private final List<Vertx> loops = new ArrayList<>();
    private final Map<Integer, BenchNode> nodes = new TreeMap<>();

    NodeWorker(int worker, int workers, int count, int basePort, int partBytes) {
        this.count = count;
        this.basePort = basePort;
        this.partBytes = partBytes;
        quieten(Logger.ROOT_LOGGER_NAME, Level.ERROR);
        quieten("io.netty", Level.OFF);
        for (int i = 0; i < LOOPS; i++) {
            loops.add(Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)));
        }
        for (int index = worker; index < count; index += workers) {
            nodes.put(index, newNode(index));
        }
    }

    void run(InputStream commands, PrintStream answers) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(commands, StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null && !line.equals("quit"); line = reader.readLine()) {
            String[] words = line.split(" ", -1);
            answers.println(answer(words[0], words.length > 1 ? Long.parseLong(words[1]) : 0));
            answers.flush();
        }
        nodes.values().forEach(BenchNode::close);
        loops.forEach(Vertx::close);
    }

    /** Restarts and the end of a run close connections under way, which Netty logs as warnings. */
    private static void quieten(String logger, Level level) {
        ((Logger) LoggerFactory.getLogger(logger)).setLevel(level);
    }

    private String answer(String command, long argument) {
        return switch (command) {
            case "start" -> start();
            case "views" -> views();
            case "stats" -> stats();
            case "processor" -> processor();
            case "heap" -> heap();
            case "publish" -> publish(argument);
            case "adoptions" -> adoptions(argument);
            case "restart" -> restart((int) argument);
            default -> throw new IllegalArgumentException("unknown command " + command);
        };
    }

    private String start() {
        nodes.values().forEach(BenchNode::start);
        return "started";
    }

    /** Number of nodes of this worker that see all nodes. */
    private String views() {
        return Long.toString(nodes.values().stream()
                .filter(node -> node.node().view().live().size() == count)
                .count());
    }

    /** For each node: frames sent, bytes sent, bytes received, connections opened. */
    private String stats() {
        StringBuilder line = new StringBuilder();
        for (BenchNode node : nodes.values()) {
            WireStats.Snapshot stats = node.node().wireStats();
            line.append(stats.sentFrames())
                    .append(' ')
                    .append(stats.sentBytes())
                    .append(' ');
            line.append(stats.receivedBytes())
                    .append(' ')
                    .append(stats.openedConnections())
                    .append(' ');
        }
        return line.toString().trim();
    }

    /** Processor nanoseconds of the whole process. */
    private static String processor() {
        var system = (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return Long.toString(system.getProcessCpuTime());
    }

    /** Heap bytes in use after a collection. */
    private static String heap() {
        System.gc();
        return Long.toString(
                ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
    }

    private String publish(long version) {
        published.onNext(FleetModel.content(version, partBytes));
        return "published";
    }

    private String adoptions(long version) {
        StringBuilder line = new StringBuilder();
        for (BenchNode node : nodes.values()) {
            Long atNanos = node.adoptedAtNanos(version);
            line.append(atNanos == null ? "-" : atNanos.toString()).append(' ');
        }
        return line.toString().trim();
    }

    private String restart(int index) {
        BenchNode old = nodes.get(index);
        if (old == null) {
            return "elsewhere";
        }
        old.close();
        BenchNode started = newNode(index);
        nodes.put(index, started);
        started.start();
        return "restarted";
    }

    private BenchNode newNode(int index) {
        return new BenchNode(loops.get(index / 2 % LOOPS), index, basePort, published);
    }
}
