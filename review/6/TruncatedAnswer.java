import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Sends orders and prompts one after the other. The runner that has the request is killed in the middle of its answer. It
 * checks that no client gets the half answer as a whole one.
 */
public final class TruncatedAnswer {
    private static final int REQUESTS = 4;

    /** One of them is down at a time. */
    private static final int RUNNERS = 6;

    private static final String CLIENT_HOST = "ficu95.example";

    private final boolean isTrouble;
    private final RunRecord record;
    private final int bodyBytes;
    private final List<Runner> runners = new ArrayList<>();
    private int startedRunners;
    private int broken;

    private TruncatedAnswer(boolean isTrouble, RunRecord record, int bodyBytes) {
        this.isTrouble = isTrouble;
        this.record = record;
        this.bodyBytes = bodyBytes;
    }

    /** Arguments: the folder for the record, and one for temporary files. Ends with 0, 1 or 2. */
    public static void main(String[] arguments) throws IOException {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int bodyBytes = Integer.parseInt(System.getenv().getOrDefault("BODY_BYTES", "4194304"));
        int status;
        try (RunRecord record = new RunRecord(Path.of(arguments[0]))) {
            try {
                TruncatedAnswer run = new TruncatedAnswer(isTrouble, record, bodyBytes);
                run.execute(Path.of(arguments[1]));
                status = run.broken > 0 ? 1 : 0;
            } catch (IOException | InterruptedException | RuntimeException e) {
                record.line("could not run: " + e);
                status = 2;
            }
            record.line(status == 1 ? "MIXED is broken" : status == 0 ? "MIXED held" : "no result");
        }
        System.exit(status);
    }

    private void execute(Path directory) throws IOException, InterruptedException {
        String address = "127.0.6.1";
        try (Store store = new Store()) {
            store.put("op/config", config());
            try (Host host = Host.start(address, Host.freePorts(address), List.of(), store.address(), directory)) {
                host.awaitReady();
                for (int number = 0; number < RUNNERS; number++) {
                    runners.add(startRunner(store));
                }
                Thread.sleep(500);
                for (int number = 1; number <= REQUESTS; number++) {
                    request(number, store, host);
                }
            } finally {
                for (Runner runner : runners) {
                    runner.process().destroyForcibly().waitFor();
                }
            }
        }
    }

    private static String config() {
        return """
                {"version":7,"routes":[{"name":"kit-order","host":"%s","path_prefix":"/puxa403/","kind":"unsafe",\
                "timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"order-desk","max_attempts":1,\
                "public":false},{"name":"kit-query","host":"%s","path_prefix":"/lohu930/","kind":"streaming",\
                "timeout_ms":10000,"target_latency_ms":300,"priority":1,"service":"order-desk","max_attempts":2,\
                "public":false,"stream_resume":true,"target_gap_ms":250}],"services":[{"name":"order-desk","health_path":"/health","max_connections":49}],\
                "tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"]}],"limits":{"max_header_bytes":16384,\
                "max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""
                .formatted(CLIENT_HOST, CLIENT_HOST);
    }

    /** A runner that is a process of its own, with its entry in the store. */
    private record Runner(String id, Process process) {}

    private Runner startRunner(Store store) throws IOException {
        String id = "i-" + ++startedRunners;
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        EarlyAnswerRunner.class.getName())
                .redirectErrorStream(true)
                .start();
        BufferedReader events = process.inputReader();
        store.put(
                "servers/" + id,
                "{\"service\":\"order-desk\",\"address\":\"127.0.0.1:" + events.readLine()
                        + "\",\"zone\":\"qld-south-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                        + "\"cold_remaining_ms\":0,\"sequence\":0,\"born\":" + System.currentTimeMillis() + "}");
        Runner runner = new Runner(id, process);
        Thread follower = new Thread(() -> follow(runner, events));
        follower.setDaemon(true);
        follower.start();
        return runner;
    }

    /** Sends a request. The runner that was killed under it is replaced by another one. */
    private void request(int number, Store store, Host host) throws IOException, InterruptedException {
        send("a-" + number, number % 2 == 1 ? "/puxa403/2f" : "/lohu930/2f", host);
        Thread.sleep(1_000);
        for (Runner runner : List.copyOf(runners)) {
            if (!runner.process().isAlive()) {
                runners.remove(runner);
                store.put("servers/" + runner.id(), null);
                runners.add(startRunner(store));
            }
        }
        Thread.sleep(500);
    }

    /** Records what the runner does, and kills it once it has sent half of its answer. */
    private void follow(Runner runner, BufferedReader events) {
        try {
            for (String event = events.readLine(); event != null; event = events.readLine()) {
                record.line("runner " + runner.id() + " " + event);
                if (isTrouble && event.startsWith("has sent the first half")) {
                    Thread.sleep(200);
                    runner.process().destroyForcibly();
                    record.line("runner " + runner.id() + " is killed, one of " + RUNNERS);
                }
            }
        } catch (IOException e) {
            // The runner has ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(String attempt, String path, Host host) throws IOException {
        try (Socket socket = new Socket(host.address, host.frontPort)) {
            socket.setSoTimeout(8_000);
            record.line("client sends " + attempt + " to " + path + " with " + bodyBytes + " bytes");
            Http.write(
                    socket.getOutputStream(),
                    "POST " + path + " HTTP/1.1\r\nHost: " + CLIENT_HOST + "\r\nFigspan-Attempt-Id: " + attempt
                            + "\r\nFigspan-Deadline-Ms: 4000\r\nX-Api-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: "
                            + bodyBytes + "\r\n\r\n");
            socket.getOutputStream().write(new byte[bodyBytes]);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            byte[] body = Http.readBody(in, head);
            boolean isWhole =
                    body.length == EarlyAnswerRunner.FIRST_HALF.length() + EarlyAnswerRunner.SECOND_HALF.length();
            boolean isSuccess = head.status() / 100 == 2;
            record.line("client gets for " + attempt + ": " + head.startLine() + ", content-length "
                    + head.header("content-length") + ", stamp '" + head.header("figspan-response-stamp")
                    + "', complete with "
                    + body.length + " bytes" + (isSuccess && !isWhole ? ", not the runner's whole body" : ""));
            if (isSuccess && !isWhole) {
                broken++;
            }
            if (!isTrouble && !(isSuccess && isWhole)) {
                throw new IOException("without trouble the answer is not whole");
            }
        } catch (IOException e) {
            if (!isTrouble) {
                throw e;
            }
            record.line("client gets for " + attempt + ": no complete answer (" + e.getMessage() + ")");
        }
    }
}
