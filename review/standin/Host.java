package io.figspan.review;

import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One process of the system, started as the {@code run} line of the deploy file says, at a loopback address. */
final class Host {
    private static final int METRICS_PORT = 9464;

    private final String name;
    private final String ip;
    private final int[] ports;
    private final Path root;
    private final Path settings;
    private final Path log;
    private Process process;

    /**
     * Creates a host without starting it.
     *
     * @param ip its loopback address; hosts differ in it, since all use the same ports
     * @param ports for callers, readiness, control, directory, and the two ends of the internal range
     */
    Host(String name, String ip, int[] ports, List<String> seeds, String store, Path root, Path folder)
            throws IOException {
        this.name = name;
        this.ip = ip;
        this.ports = ports;
        this.root = root;
        this.settings = folder.resolve(name + ".toml");
        this.log = folder.resolve(name + ".log");
        writeSettings(seeds, store);
    }

    private void writeSettings(List<String> seeds, String store) throws IOException {
        List<String> quoted = new ArrayList<>();
        seeds.forEach(seed -> quoted.add("\"" + seed + ":" + ports[2] + "\""));
        Files.writeString(
                settings,
                """
                node = "%s"
                role = "entry"
                machine_class = "front"
                serves = ["front","control","directory"]
                ip_address = "%s"
                zone = "zone-a"
                region = "region"
                internal_ports = [%d,%d]
                seed_nodes = [%s]
                bootstrap = true
                discovery = "platform"
                entry = "directory"
                heartbeat_ms = 1200
                [listen]
                front = "%s:%d"
                ready = "%s:%d"
                control = "%s:%d"
                directory = "%s:%d"
                [limits]
                memory_mb = 430
                [bounds]
                stable_window_ms = 3000
                drain_ms = 2000
                grace_s = 8
                config_apply_ms = 2000
                budget_ratio = 0.2
                budget_window_s = 10
                budget_slack = 102
                [platform]
                address = "%s"
                form = "read"
                """
                        .formatted(
                                name,
                                ip,
                                ports[4],
                                ports[5],
                                String.join(",", quoted),
                                ip,
                                ports[0],
                                ip,
                                ports[1],
                                ip,
                                ports[2],
                                ip,
                                ports[3],
                                store));
    }

    /** Picks loopback addresses at which the fixed port of the metrics is free now. */
    static List<String> freeAddresses(int count) throws IOException {
        for (int third = ThreadLocalRandom.current().nextInt(20, 120); third < 250; third++) {
            List<String> ips = new ArrayList<>();
            for (int i = 1; i <= count; i++) {
                ips.add("127.0." + third + "." + i);
            }
            if (isFree(METRICS_PORT, ips)) {
                return ips;
            }
        }
        throw new IOException("no free loopback addresses");
    }

    /** Picks ports that are free now at all of these addresses. */
    static int[] freePorts(List<String> ips) throws IOException {
        int[] ports = new int[6];
        for (int i = 0; i < 5; i++) {
            int port;
            do {
                try (ServerSocket socket = new ServerSocket(0)) {
                    port = socket.getLocalPort();
                }
            } while (!isFree(port, ips));
            ports[i] = port;
        }
        ports[5] = ports[4] + 15;
        return ports;
    }

    private static boolean isFree(int port, List<String> ips) {
        for (String ip : ips) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                socket.setReuseAddress(true);
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("FIGSPAN_NODE_FILE", settings.toString());
        builder.directory(root.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
        process = builder.start();
    }

    /** The words of the run line of the deploy file, with the address for callers in place of the placeholder. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"), StandardCharsets.UTF_8)) {
            if (line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(
                        run.replace("{{listen.front}}", ip + ":" + ports[0]).split(" "));
            }
        }
        throw new IOException("the deploy file has no run line");
    }

    String name() {
        return name;
    }

    String ip() {
        return ip;
    }

    int callerPort() {
        return ports[0];
    }

    Path log() {
        return log;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** The status with which the process has ended. */
    int exitStatus() throws InterruptedException {
        return process.waitFor();
    }

    /** Asks as the platform does whether the host is ready; 0 if there is no answer within a second. */
    int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, ports[1]), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(("GET /readiness HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            return HttpMessage.readResponse(new BufferedInputStream(socket.getInputStream()))
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    void awaitReady(long timeoutMs) throws InterruptedException, IOException {
        long endNanos = System.nanoTime() + timeoutMs * 1_000_000;
        while (readiness() != 200) {
            if (System.nanoTime() > endNanos) {
                throw new IOException(name + " isn't ready within " + timeoutMs + " ms");
            }
            Thread.sleep(50);
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
