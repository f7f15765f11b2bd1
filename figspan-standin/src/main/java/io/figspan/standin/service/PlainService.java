package io.figspan.standin.service;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.figspan.core.event.Part;
import io.vertx.core.AbstractVerticle;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stand-in for a plain service. {@code POST /v1/run} runs an order, identified by the member {@code order} of its body;
 * {@code GET /control/runs} returns the number of runs per order. {@code POST /control/mode} sets how requests are
 * handled: {@code fail} (a {@link FailMode}) for the next {@code count} orders, a delay of {@code delayMs} before each
 * order, and with {@code honourKey} whether a repeated idempotency key returns the first receipt instead of running the
 * order again.
 */
public final class PlainService extends AbstractVerticle {
    private static final Logger LOG = LoggerFactory.getLogger(PlainService.class);

    /** Runs that are recorded; further ones are refused, so that the record is never incomplete. */
    private static final int MAX_RUNS = 100_000;

    /** How the service fails the next orders. */
    public enum FailMode {
        /** Runs each order. */
        NONE,
        /** Refuses the order without running it, and says so in the answer. */
        REFUSE,
        /** Closes the connection without running the order. */
        BREAK_BEFORE,
        /** Runs the order, then closes the connection without an answer. */
        BREAK_AFTER
    }

    /** Number of runs per order. */
    public record Runs(@JsonProperty("service") String service, @JsonProperty("runs") Map<String, Integer> runs) {}

    /** Response to an order. */
    public record Receipt(
            @JsonProperty("order") String order,
            @JsonProperty("service") String service,
            @JsonProperty("run") String run) {}

    private final String name;
    private final String address;
    private int port;
    private boolean honoursIdempotencyKey;
    private FailMode failMode = FailMode.NONE;
    private int failuresLeft;
    private long delayMs;
    private final Map<String, Integer> runs = new TreeMap<>();
    private final Map<String, Receipt> receiptsByIdempotencyKey = new LinkedHashMap<>();

    public PlainService(String name, String address, int port, boolean honoursIdempotencyKey) {
        this.name = name;
        this.address = address;
        this.port = port;
        this.honoursIdempotencyKey = honoursIdempotencyKey;
    }

    public String name() {
        return name;
    }

    public boolean honoursIdempotencyKey() {
        return honoursIdempotencyKey;
    }

    public int port() {
        return port;
    }

    @Override
    public void start(Promise<Void> started) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(1 << 20));
        router.post("/v1/run").handler(this::receive);
        router.get("/control/runs").handler(context -> reply(context, 200, new Runs(name, runs)));
        router.post("/control/mode").handler(this::setMode);
        vertx.createHttpServer(new HttpServerOptions())
                .requestHandler(router)
                .listen(port, address)
                .onSuccess(listening -> {
                    port = listening.actualPort();
                    LOG.info("{} service {} listening on {}:{}", Part.STANDIN.logPrefix(), name, address, port);
                })
                .<Void>mapEmpty()
                .onComplete(started);
    }

    private void setMode(RoutingContext context) {
        failMode = FailMode.valueOf(context.request().getParam("fail", "NONE"));
        failuresLeft = Integer.parseInt(context.request().getParam("count", "1"));
        delayMs = Long.parseLong(context.request().getParam("delayMs", "0"));
        honoursIdempotencyKey =
                Boolean.parseBoolean(context.request().getParam("honourKey", Boolean.toString(honoursIdempotencyKey)));
        reply(context, 200, Set.of());
    }

    private void receive(RoutingContext context) {
        FailMode mode = failuresLeft > 0 ? failMode : FailMode.NONE;
        failuresLeft = Math.max(0, failuresLeft - 1);
        if (delayMs > 0) {
            vertx.setTimer(delayMs, id -> run(context, mode));
            return;
        }
        run(context, mode);
    }

    private void run(RoutingContext context, FailMode mode) {
        String order = orderId(context);
        String idempotencyKey = context.request().getHeader("Idempotency-Key");
        if (order == null || runs.size() >= MAX_RUNS || mode == FailMode.REFUSE) {
            reply(context, 503, new Receipt(order, name, "notRun"));
            return;
        }
        if (mode == FailMode.BREAK_BEFORE) {
            context.request().connection().close();
            return;
        }
        if (honoursIdempotencyKey && idempotencyKey != null && receiptsByIdempotencyKey.containsKey(idempotencyKey)) {
            reply(context, 200, receiptsByIdempotencyKey.get(idempotencyKey));
            return;
        }
        runs.merge(order, 1, Integer::sum);
        Receipt receipt = new Receipt(order, name, "ran");
        if (idempotencyKey != null) {
            receiptsByIdempotencyKey.put(idempotencyKey, receipt);
        }
        if (mode == FailMode.BREAK_AFTER) {
            context.request().connection().close();
            return;
        }
        reply(context, 200, receipt);
    }

    private static String orderId(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        return body == null ? null : body.getString("order");
    }

    private static void reply(RoutingContext context, int status, Object body) {
        if (context.response().closed()) {
            return;
        }
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(Json.encode(body));
    }
}
