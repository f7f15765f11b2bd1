package io.figspan.host.operator;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.figspan.core.error.Problem;
import io.figspan.core.event.TimelineEvent;
import io.figspan.core.metrics.PrometheusText;
import io.figspan.host.HostContext;
import io.figspan.host.backend.BackendTable;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The operator port: status, timeline, metrics and health. */
public final class OperatorServer {
    private static final int MAX_TIMELINE_EVENTS = 5_000;

    /** One backend server in the status. */
    record BackendStatus(
            @JsonProperty("id") String id,
            @JsonProperty("kind") String kind,
            @JsonProperty("incarnation") long incarnation,
            @JsonProperty("leaving") boolean leaving,
            @JsonProperty("suspect") boolean suspect,
            @JsonProperty("capacityTokens") long capacityTokens) {}

    /** Answer to {@code GET /admin/status}. */
    record Status(
            @JsonProperty("host") String host,
            @JsonProperty("incarnation") long incarnation,
            @JsonProperty("region") String region,
            @JsonProperty("availabilityZone") String availabilityZone,
            @JsonProperty("state") String state,
            @JsonProperty("settingsVersion") long settingsVersion,
            @JsonProperty("settingsError") String settingsError,
            @JsonProperty("members") List<String> members,
            @JsonProperty("inFlight") int inFlight,
            @JsonProperty("queued") int queued,
            @JsonProperty("backendServers") List<BackendStatus> backendServers) {}

    /** One event of the timeline. */
    record Event(
            @JsonProperty("wallMs") long wallMs,
            @JsonProperty("counter") int counter,
            @JsonProperty("host") String host,
            @JsonProperty("part") String part,
            @JsonProperty("kind") String kind,
            @JsonProperty("requestId") String requestId,
            @JsonProperty("text") String text) {}

    /** Answer to {@code GET /admin/timeline}. */
    record Events(@JsonProperty("events") List<Event> events) {}

    /** What the process tells about itself. */
    public record Gauges(String state, boolean ready, int inFlight, int queued) {}

    private final HostContext context;
    private final Supplier<Gauges> gauges;
    private Supplier<List<String>> members = List::of;
    private HttpServer server;

    public OperatorServer(HostContext context, Supplier<Gauges> gauges) {
        this.context = context;
        this.gauges = gauges;
    }

    /** Sets what lists the processes that membership has as live. */
    public void setMembers(Supplier<List<String>> newMembers) {
        members = newMembers;
    }

    /** Starts to listen and returns the port in use. */
    public Future<Integer> listen() {
        server = context.vertx().createHttpServer(new HttpServerOptions().setMaxHeaderSize(16_384));
        return server.requestHandler(this::route)
                .listen(context.config().operatorPort(), context.config().bindAddress())
                .map(HttpServer::actualPort);
    }

    public Future<Void> close() {
        return server.close();
    }

    private void route(HttpServerRequest request) {
        switch (request.method() + " " + request.path()) {
            case "GET /admin/status" -> json(request, 200, status());
            case "GET /admin/timeline" -> json(request, 200, new Events(timeline(request.getParam("request"))));
            case "GET /metrics" ->
                request.response()
                        .putHeader("Content-Type", "text/plain; version=0.0.4")
                        .end(PrometheusText.of(context.metrics()));
            case "GET /health/live" -> json(request, 200, Map.of("live", true));
            case "GET /health/ready" -> {
                boolean ready = gauges.get().ready();
                json(request, ready ? 200 : 503, Map.of("ready", ready));
            }
            default -> json(request, 404, Map.of("error", "not found"));
        }
    }

    private Status status() {
        Gauges now = gauges.get();
        List<BackendStatus> servers = new ArrayList<>();
        for (BackendTable.Server server : context.backends().all()) {
            servers.add(new BackendStatus(
                    server.id().value(),
                    server.listed().kind().wireName(),
                    server.incarnation().number(),
                    server.isLeaving(),
                    server.isSuspect(),
                    server.capacityTokens()));
        }
        return new Status(
                context.config().hostId().value(),
                context.incarnation().number(),
                context.config().region().value(),
                context.config().availabilityZone().value(),
                now.state(),
                context.settings().version().number(),
                context.settings().lastRefusal().map(Problem::detail).orElse(""),
                members.get(),
                now.inFlight(),
                now.queued(),
                servers);
    }

    private List<Event> timeline(String requestId) {
        List<TimelineEvent> events = context.timeline()
                .select(event -> requestId == null || event.requestId().equals(requestId));
        int start = Math.max(0, events.size() - MAX_TIMELINE_EVENTS);
        return events.subList(start, events.size()).stream()
                .map(event -> new Event(
                        event.timestamp().wallMs(),
                        event.timestamp().counter(),
                        event.host().value(),
                        event.part().wireName(),
                        event.kind(),
                        event.requestId(),
                        event.text()))
                .toList();
    }

    private static void json(HttpServerRequest request, int status, Object body) {
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(Json.encode(body));
    }
}
