package io.figspan.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.figspan.core.event.Part;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP server with stand-ins for the platform services: the configuration service (see {@link ConfigurationService}),
 * the host list and the weight store.
 *
 * <p>{@code GET /hosts} returns the list. {@code GET /weights/MODEL/VERSION?megabytes=N} returns when the load is
 * done, or at once with 503 and {@code Retry-After} if the queue is too long.
 *
 * <p>Control routes: {@code POST /control/hosts} adds or replaces the entries of the list in the body;
 * {@code POST /control/hosts/state?id=ID&state=live|leaving}; {@code POST /control/hosts/remove?id=ID};
 * {@code POST /control/hosts/lag?ms=N}; {@code POST /control/weights/rate?megabytesPerSecond=N};
 * {@code GET /control/weights/counts}.
 */
public final class PlatformStandins {
    /** Initial lag of the host list, in ms; below the bound of 3 s for leaving servers. */
    public static final long DEFAULT_LAG_MS = 1_000;

    /** Initial rate of the weight store. */
    public static final long DEFAULT_MEGABYTES_PER_SECOND = 2_000;

    private static final Logger LOG = LoggerFactory.getLogger(PlatformStandins.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_BODY_BYTES = 8 << 20;

    private final Vertx vertx;
    private final ConfigurationStore configuration = new ConfigurationStore();
    private final LaggingHostList hostList = new LaggingHostList(TimeUnit.MILLISECONDS.toNanos(DEFAULT_LAG_MS));
    private final WeightStore weightStore = new WeightStore(DEFAULT_MEGABYTES_PER_SECOND);
    private final ConfigurationService configurationService;
    private HttpServer server;

    private PlatformStandins(Vertx vertx) {
        this.vertx = vertx;
        this.configurationService = new ConfigurationService(vertx, configuration);
    }

    /** Starts the stand-ins on one port; 0 selects a free port, which {@link #port()} returns. */
    public static Future<PlatformStandins> start(Vertx vertx, String address, int port) {
        PlatformStandins standins = new PlatformStandins(vertx);
        return vertx.createHttpServer()
                .requestHandler(standins.router())
                .listen(port, address)
                .map(listening -> {
                    standins.server = listening;
                    LOG.info(
                            "{} platform stand-ins listening on {}:{}",
                            Part.STANDIN.logPrefix(),
                            address,
                            standins.port());
                    return standins;
                });
    }

    public int port() {
        return server.actualPort();
    }

    public LaggingHostList hostList() {
        return hostList;
    }

    public WeightStore weightStore() {
        return weightStore;
    }

    public ConfigurationStore configuration() {
        return configuration;
    }

    /** Answers pending watches; must be called after {@link #configuration()} was changed directly. */
    public void answerPendingWatches() {
        configurationService.answerPendingWatches();
    }

    public Future<Void> close() {
        return server.close();
    }

    private Router router() {
        Router router = Router.router(vertx);
        router.post().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        configurationService.addRoutes(router);
        router.get("/hosts").handler(this::readHosts);
        router.post("/control/hosts").handler(this::writeHosts);
        router.post("/control/hosts/state").handler(this::setState);
        router.post("/control/hosts/remove").handler(this::removeHost);
        router.post("/control/hosts/lag").handler(this::setLag);
        router.get("/weights/:model/:version").handler(this::loadWeights);
        router.post("/control/weights/rate").handler(this::setRate);
        router.get("/control/weights/counts").handler(this::readWeightCounts);
        return router;
    }

    // --- Host list

    private void readHosts(RoutingContext context) {
        context.response()
                .putHeader("Content-Type", "application/json")
                .end(hostList.read(System.nanoTime()).toString());
    }

    private void writeHosts(RoutingContext context) {
        JsonNode document;
        try {
            document = MAPPER.readTree(
                    Optional.ofNullable(context.body().asString()).orElse(""));
        } catch (JsonProcessingException e) {
            ConfigurationService.badRequest(context, "the body is not JSON");
            return;
        }
        int written = 0;
        for (LaggingHostList.Section section : LaggingHostList.Section.values()) {
            for (JsonNode entry : document.path(section.wireName())) {
                if (entry instanceof ObjectNode object && object.path("id").isTextual()) {
                    hostList.upsert(section, object, System.nanoTime());
                    written++;
                }
            }
        }
        context.json(new JsonObject().put("entries", written));
    }

    private void setState(RoutingContext context) {
        String state = context.request().getParam("state", "");
        if (!state.equals("live") && !state.equals("leaving")) {
            ConfigurationService.badRequest(context, "state is neither live nor leaving");
            return;
        }
        answerWhetherFound(context, hostList.setState(context.request().getParam("id", ""), state, System.nanoTime()));
    }

    private void removeHost(RoutingContext context) {
        answerWhetherFound(context, hostList.remove(context.request().getParam("id", ""), System.nanoTime()));
    }

    private static void answerWhetherFound(RoutingContext context, boolean found) {
        context.response().setStatusCode(found ? 200 : 404);
        context.json(new JsonObject().put("found", found));
    }

    private void setLag(RoutingContext context) {
        Optional<Long> lagMs = ConfigurationService.longParameter(context, "ms").filter(ms -> ms >= 0);
        if (lagMs.isEmpty()) {
            ConfigurationService.badRequest(context, "needs the parameter ms of at least 0");
            return;
        }
        hostList.setLagNanos(TimeUnit.MILLISECONDS.toNanos(lagMs.get()));
        context.json(new JsonObject().put("lagMs", lagMs.get()));
    }

    // --- Weight store

    private void loadWeights(RoutingContext context) {
        Optional<Long> megabytes =
                ConfigurationService.longParameter(context, "megabytes").filter(size -> size > 0);
        if (megabytes.isEmpty()) {
            ConfigurationService.badRequest(context, "needs the parameter megabytes above 0");
            return;
        }
        OptionalLong durationNanos = weightStore.reserve(megabytes.get(), System.nanoTime());
        if (durationNanos.isEmpty()) {
            long retryAfterSeconds = TimeUnit.NANOSECONDS.toSeconds(WeightStore.MAX_WAIT_NANOS);
            context.response()
                    .setStatusCode(503)
                    .putHeader("Retry-After", Long.toString(retryAfterSeconds))
                    .end();
            return;
        }
        long waitMs = Math.max(1, TimeUnit.NANOSECONDS.toMillis(durationNanos.getAsLong()));
        vertx.setTimer(waitMs, unused -> {
            if (!context.response().closed()) {
                context.json(new JsonObject()
                        .put("model", context.pathParam("model"))
                        .put("version", context.pathParam("version"))
                        .put("megabytes", megabytes.get()));
            }
        });
    }

    private void setRate(RoutingContext context) {
        Optional<Long> rate = ConfigurationService.longParameter(context, "megabytesPerSecond")
                .filter(value -> value > 0);
        if (rate.isEmpty()) {
            ConfigurationService.badRequest(context, "needs the parameter megabytesPerSecond above 0");
            return;
        }
        weightStore.setMegabytesPerSecond(rate.get());
        context.json(new JsonObject().put("megabytesPerSecond", rate.get()));
    }

    private void readWeightCounts(RoutingContext context) {
        context.json(
                new JsonObject().put("loads", weightStore.loads()).put("megabytes", weightStore.loadedMegabytes()));
    }
}
