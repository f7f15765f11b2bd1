package io.figspan.host;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.figspan.host.entry.EntryServer;
import io.figspan.settings.cfg.HostConfig;
import io.figspan.settings.cfg.HostConfigReader;
import io.figspan.standin.StandinFiles;
import io.figspan.standin.StandinFleet;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** Stand-ins and hosts over loopback sockets in one process. Waits are for conditions, with a bound far above need. */
final class LoopbackFleet {
    static final String ADDRESS = "127.0.0.1";
    static final String ORGANISATION = "driftglass";

    private static final String DEADLINE_HEADER = "Figspan-Deadline-Ms";
    private static final long DEADLINE_MS = 120_000;
    private static final long WAIT_SECONDS = 60;
    private static final long POLL_MS = 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    final List<HostProcess> hosts = new ArrayList<>();
    private final Vertx vertx = Vertx.vertx();
    private final StandinFleet standins = new StandinFleet(vertx, ADDRESS);

    LoopbackFleet(Path directory, int hostCount, int enginesPerZone, EntryServer.Limits limits) throws Exception {
        this(directory, hostCount, enginesPerZone, limits, UnaryOperator.identity());
    }

    LoopbackFleet(
            Path directory,
            int hostCount,
            int enginesPerZone,
            EntryServer.Limits limits,
            UnaryOperator<HostConfig> configuration)
            throws Exception {
        await(standins.start(enginesPerZone, 1));
        List<StandinFiles.HostPorts> ports = StandinFiles.pickPorts(ADDRESS, hostCount);
        standins.publish(ports);
        new StandinFiles(directory, ADDRESS).write(standins, ports, 0);
        for (StandinFiles.HostPorts port : ports) {
            HostConfig config = HostConfigReader.readFile(directory.resolve(port.id() + ".toml"));
            HostProcess host = await(HostProcess.create(configuration.apply(config), limits));
            await(host.start());
            hosts.add(host);
        }
        for (HostProcess host : hosts) {
            awaitStatus(uri(host.operatorPort(), "/health/ready"));
        }
    }

    /** Limits with short waits, so that tests need not wait long; verdicts do not depend on them. */
    static EntryServer.Limits limits(int bodyBytes, long bodyMs) {
        return new EntryServer.Limits(bodyBytes, 1_000, bodyMs, 1);
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    static URI uri(int port, String path) {
        return URI.create("http://" + ADDRESS + ":" + port + path);
    }

    int callerPort(int host) {
        return hosts.get(host).callerPort();
    }

    List<Integer> enginePorts() {
        return standins.engines().stream().map(engine -> engine.port()).toList();
    }

    int servicePort() {
        return standins.services().get(0).port();
    }

    HttpRequest.Builder request(int host, String path, String requestId) {
        return HttpRequest.newBuilder(uri(callerPort(host), path))
                .header("Figspan-Organisation", ORGANISATION)
                .header("Figspan-Request-Id", requestId)
                .header(DEADLINE_HEADER, Long.toString(DEADLINE_MS));
    }

    /** The head of a request for a prompt whose connection closes after the answer. */
    String promptHead(String requestId, int bodyBytes) {
        return "POST /v1/completions HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\nFigspan-Organisation: "
                + ORGANISATION + "\r\nFigspan-Request-Id: " + requestId + "\r\nContent-Length: " + bodyBytes
                + "\r\n\r\n";
    }

    /** Starts a prompt and returns its answer, which is read as it arrives. */
    SseAnswer prompt(int host, String requestId, String prompt, int maxTokens) throws Exception {
        return prompt(host, requestId, prompt, maxTokens, DEADLINE_MS);
    }

    SseAnswer prompt(int host, String requestId, String prompt, int maxTokens, long deadlineMs) throws Exception {
        String body = MAPPER.createObjectNode()
                .put("model", StandinFleet.MODEL)
                .put("prompt", prompt)
                .put("max_tokens", maxTokens)
                .toString();
        HttpRequest request = request(host, "/v1/completions", requestId)
                .setHeader(DEADLINE_HEADER, Long.toString(deadlineMs))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return new SseAnswer(http.send(request, HttpResponse.BodyHandlers.ofInputStream()));
    }

    /** Sends a control call to each engine. */
    void controlEngines(String path) throws Exception {
        for (int port : enginePorts()) {
            post(port, path);
        }
    }

    /** Sends a control call; a crash answers nothing. */
    void post(int port, String path) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(uri(port, path))
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        try {
            http.send(request, HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // The engine broke the connection, which is what a crash does.
        }
    }

    JsonNode report(int enginePort) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(uri(enginePort, "/v1/report/fresh")).build();
        return MAPPER.readTree(
                http.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    /** Ports of the engines that hold memory. */
    List<Integer> enginesWithHolds() throws Exception {
        List<Integer> holding = new ArrayList<>();
        for (int port : enginePorts()) {
            if (!report(port).path("holds").isEmpty()) {
                holding.add(port);
            }
        }
        return holding;
    }

    /** Completes when no engine holds memory; fails when that never happens. */
    void awaitNoHolds() throws Exception {
        awaitCondition(fleet -> {
            try {
                return fleet.enginesWithHolds().isEmpty();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    void awaitCondition(Predicate<LoopbackFleet> condition) throws Exception {
        CompletableFuture<Void> met = new CompletableFuture<>();
        vertx.setPeriodic(POLL_MS, id -> vertx.executeBlocking(() -> condition.test(this))
                .onSuccess(holds -> {
                    if (holds) {
                        vertx.cancelTimer(id);
                        met.complete(null);
                    }
                })
                .onFailure(met::completeExceptionally));
        met.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void awaitStatus(URI uri) throws Exception {
        awaitCondition(fleet -> {
            try {
                HttpRequest request = HttpRequest.newBuilder(uri).build();
                return http.send(request, HttpResponse.BodyHandlers.discarding())
                                .statusCode()
                        == 200;
            } catch (IOException e) {
                return false;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        });
    }

    void close() throws Exception {
        for (HostProcess host : hosts) {
            await(host.close());
        }
        await(vertx.close());
    }
}
