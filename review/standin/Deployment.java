package io.figspan.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment on loopback: the store, hosts and runners, with the settings of a small site. */
final class Deployment implements AutoCloseable {
    /** The settings that fleetbench wire prints for a small site, with names of this test. */
    static final String CONFIG =
            """
            {"version":7,"routes":[
            {"name":"r-query","host":"figspan.example","path_prefix":"/query/","kind":"streaming","timeout_ms":10000,"target_latency_ms":300,"priority":1,"service":"pool","max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,"target_gap_ms":250},
            {"name":"r-archive","host":"figspan.example","path_prefix":"/archive/","kind":"streaming","timeout_ms":15000,"target_latency_ms":3000,"priority":1,"service":"pool","max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,"target_gap_ms":1000},
            {"name":"r-order","host":"figspan.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":false},
            {"name":"r-stock","host":"figspan.example","path_prefix":"/stock/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"public":false}],
            "services":[{"name":"pool","health_path":"/health","max_connections":194,"protocol":"h1","tls":false,"engine":{"slots":11,"kv_capacity_tokens":315000,"kv_token_bytes":163840,"link_bandwidth_mbps":400000.0,"stride":51,"models":[{"name":"m"}],"step_ms":0.85,"per_seq_ms":0.006181818181818182,"context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":11112,"answer":1622},"hop_ms":0.05}},
            {"name":"desk","health_path":"/health","max_connections":49,"protocol":"h1","tls":false}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            "tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}
            """;

    final Recorder recorder;
    final Store store = new Store();
    final List<Host> hosts = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();
    private final Path folder;

    Deployment(Recorder recorder, int hostCount) throws IOException {
        this.recorder = recorder;
        this.folder = Files.createTempDirectory("figspan-review");
        List<String> ips = Host.freeAddresses(hostCount);
        int[] ports = Host.freePorts(ips);
        Path root = Path.of("").toAbsolutePath();
        for (String ip : ips) {
            hosts.add(new Host("front-" + ips.indexOf(ip), ip, ports, ips, store.address(), root, folder));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killHosts));
        store.put("op/config", CONFIG.replace("\n", ""));
    }

    Runner addRunner(String id, String service, boolean isEngine, int slots, Runner.Fault fault) throws IOException {
        Runner runner = new Runner(id, service, isEngine, slots, recorder, fault);
        runners.add(runner);
        store.put("servers/" + id, runner.entry("zone-a", 0));
        return runner;
    }

    /** Starts all hosts and waits until they are ready. */
    void start() throws IOException, InterruptedException {
        for (Host host : hosts) {
            host.start();
        }
        for (Host host : hosts) {
            host.awaitReady(20_000);
        }
        recorder.say("%d hosts are ready", hosts.size());
    }

    Path folder() {
        return folder;
    }

    private void killHosts() {
        hosts.forEach(Host::kill);
    }

    @Override
    public void close() throws IOException {
        killHosts();
        store.close();
        for (Host host : hosts) {
            copyTail(host);
        }
    }

    /** Copies the last lines of a host's log to the record. */
    private void copyTail(Host host) throws IOException {
        if (!Files.exists(host.log())) {
            return;
        }
        List<String> lines = Files.readAllLines(host.log());
        for (String line : lines.subList(Math.max(0, lines.size() - 15), lines.size())) {
            recorder.line(
                    "log of %s: %s",
                    host.name(), line.substring(0, Math.min(400, line.length())).replace('%', ' '));
        }
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }
}
