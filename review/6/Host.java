import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of figspan, started from the repository root with the {@code run} line of the deploy file. */
final class Host implements AutoCloseable {
    final String address;
    final int frontPort;
    private final int readyPort;
    private final Process process;

    private Host(String address, List<Integer> ports, Process process) {
        this.address = address;
        this.frontPort = ports.get(2);
        this.readyPort = ports.get(3);
        this.process = process;
    }

    /**
     * Starts a process.
     *
     * @param address loopback address of the machine
     * @param seeds control addresses of other machines
     * @param directory where the settings file and the log are written
     */
    static Host start(String address, List<Integer> ports, List<String> seeds, String store, Path directory)
            throws IOException {
        Path settings = directory.resolve("boot-" + address + ".toml");
        Files.writeString(settings, settings(address, ports, seeds, store));
        String front = address + ":" + ports.get(2);
        ProcessBuilder builder = new ProcessBuilder(runLine().stream()
                .map(word -> word.equals("{{listen.front}}") ? front : word)
                .toList());
        builder.environment().put("FIGSPAN_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve("log-" + address + ".txt").toFile());
        return new Host(address, ports, builder.start());
    }

    private static List<String> runLine() throws IOException {
        String run = Files.readAllLines(Path.of("deploy", "system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        return Arrays.asList(
                run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ", -1));
    }

    /** The fields of a small deployment, with the bounds of bvpw-figspan. */
    private static String settings(String address, List<Integer> ports, List<String> seeds, String store) {
        List<String> quoted = seeds.stream().map(seed -> "\"" + seed + "\"").toList();
        return """
                node = "front-HOST"
                role = "entry"
                machine_class = "front"
                serves = ["front","control","directory"]
                ip_address = "HOST"
                zone = "qld-south-a"
                region = "qld-south"
                internal_ports = [%d,%d]
                seed_nodes = [%s]
                bootstrap = true
                discovery = "platform"
                entry = "directory"
                heartbeat_ms = 1200
                [zones]
                qld-south-a = "qld-south"
                [listen]
                front = "HOST:%d"
                ready = "HOST:%d"
                control = "HOST:%d"
                directory = "HOST:%d"
                [limits]
                cpu_share = 0.75
                cpu_cores = 1
                memory_mb = 430
                file_descriptors = 4100
                [bounds]
                reuse_after_s = 2
                stable_window_ms = 3000
                drain_ms = 2000
                grace_s = 8
                loss_slack_ms = 200
                config_apply_ms = 2000
                downgrade_slack_ms = 250
                budget_ratio = 0.2
                budget_window_s = 10
                budget_slack = 102
                recovery_s = 12
                pass_ms = 120
                stall_ms = 1500
                max_hold_ms = 20000
                free_ms = 4000
                max_idle_ms = 9000
                ttl_max_s = 5
                [platform]
                address = "%s"
                form = "read"
                reads_per_s = 2000
                history_s = 20
                max_value_bytes = 1048576
                """
                .formatted(
                        ports.get(0),
                        ports.get(1),
                        String.join(",", quoted),
                        ports.get(2),
                        ports.get(3),
                        ports.get(4),
                        ports.get(5),
                        store)
                .replace("HOST", address);
    }

    /** Picks six ports that are free at an address. */
    static List<Integer> freePorts(String address) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    ProcessHandle handle() {
        return process.toHandle();
    }

    /** Waits until the readiness check succeeds; fails after ten seconds. */
    void awaitReady() throws IOException, InterruptedException {
        URI readiness = URI.create("http://" + address + ":" + readyPort + "/readiness");
        for (int attempt = 0; attempt < 200; attempt++) {
            try {
                HttpURLConnection connection =
                        (HttpURLConnection) readiness.toURL().openConnection();
                connection.setConnectTimeout(500);
                connection.setReadTimeout(500);
                if (connection.getResponseCode() == 200) {
                    return;
                }
            } catch (IOException e) {
                // The port is not open yet.
            }
            Thread.sleep(50);
        }
        throw new IOException("the host did not become ready");
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }
}
