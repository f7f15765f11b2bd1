package io.figspan.standin.platform;

import io.figspan.core.event.Part;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP routes of the stand-in configuration service.
 *
 * <p>{@code GET /config/KEY} returns 200 with the value, or 404; the header {@code Config-Index} holds its index (0 for
 * a missing key). With {@code ?watch=INDEX&waitMs=N} the call is a long poll: it returns as soon as the index differs
 * from INDEX, or 304 after N ms without a change. While the service is down, each call returns 503, and the connections
 * of pending watches are closed.
 *
 * <p>Control routes: {@code POST /control/config/put?key=K} with the value as body;
 * {@code POST /control/config/publish} with {@code {"version":N,"parts":{"NAME":"TOML"}}};
 * {@code POST /control/config/mode?mode=up|down|stale|back&writes=N}; {@code GET /control/config/counts}.
 */
final class ConfigurationService {
    /** Response header that holds the index of a value. */
    static final String INDEX_HEADER = "Config-Index";

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationService.class);
    private static final long MAX_WAIT_MS = 60_000;

    /** Limit of pending watches; further ones are answered at once with 503. */
    private static final int MAX_PENDING = 4_096;

    private static final class Watch {
        final RoutingContext context;
        final String key;
        final long knownIndex;
        long timer;

        Watch(RoutingContext context, String key, long knownIndex) {
            this.context = context;
            this.key = key;
            this.knownIndex = knownIndex;
        }
    }

    private final Vertx vertx;
    private final ConfigurationStore store;
    private final Context eventLoop;

    /** Pending watches; accessed only on {@link #eventLoop}. */
    private final List<Watch> pendingWatches = new ArrayList<>();

    ConfigurationService(Vertx vertx, ConfigurationStore store) {
        this.vertx = vertx;
        this.store = store;
        this.eventLoop = vertx.getOrCreateContext();
    }

    void addRoutes(Router router) {
        router.get("/config/*").handler(context -> eventLoop.runOnContext(unused -> get(context)));
        router.post("/control/config/put").handler(this::put);
        router.post("/control/config/publish").handler(this::publish);
        router.post("/control/config/mode").handler(this::setMode);
        router.get("/control/config/counts").handler(this::counts);
    }

    /** Answers the pending watches whose key has changed; closes the connections of all if the service is down. */
    void answerPendingWatches() {
        eventLoop.runOnContext(unused -> {
            boolean down = store.mode() == ConfigurationStore.Mode.DOWN;
            for (Watch watch : List.copyOf(pendingWatches)) {
                if (down) {
                    cancel(watch);
                    watch.context.request().connection().close();
                } else if (store.indexDiffers(watch.key, watch.knownIndex)) {
                    cancel(watch);
                    answer(watch.context, watch.key);
                }
            }
        });
    }

    // --- Readers

    private void get(RoutingContext context) {
        String key = context.request().path().substring("/config/".length());
        Optional<Long> knownIndex = longParameter(context, "watch");
        store.countCall(key, knownIndex.isPresent());
        if (context.response().closed()) {
            return;
        }
        if (store.mode() == ConfigurationStore.Mode.DOWN || pendingWatches.size() >= MAX_PENDING) {
            context.response().setStatusCode(503).end();
            return;
        }
        if (knownIndex.isEmpty() || store.indexDiffers(key, knownIndex.get())) {
            answer(context, key);
            return;
        }
        startWatch(new Watch(context, key, knownIndex.get()));
    }

    private void startWatch(Watch watch) {
        long waitMs =
                Math.min(MAX_WAIT_MS, longParameter(watch.context, "waitMs").orElse(MAX_WAIT_MS));
        pendingWatches.add(watch);
        watch.timer = vertx.setTimer(Math.max(1, waitMs), unused -> {
            if (pendingWatches.remove(watch)) {
                answerUnchanged(watch);
            }
        });
        watch.context.response().closeHandler(unused -> eventLoop.runOnContext(ignored -> cancel(watch)));
    }

    private void cancel(Watch watch) {
        if (pendingWatches.remove(watch)) {
            vertx.cancelTimer(watch.timer);
        }
    }

    private void answer(RoutingContext context, String key) {
        if (context.response().closed()) {
            return;
        }
        Optional<ConfigurationStore.Value> value = store.read(key);
        context.response()
                .putHeader(
                        INDEX_HEADER,
                        Long.toString(value.map(ConfigurationStore.Value::index).orElse(0L)));
        if (value.isEmpty()) {
            context.response().setStatusCode(404).end();
            return;
        }
        context.response().end(value.get().text());
    }

    private static void answerUnchanged(Watch watch) {
        if (!watch.context.response().closed()) {
            watch.context
                    .response()
                    .setStatusCode(304)
                    .putHeader(INDEX_HEADER, Long.toString(watch.knownIndex))
                    .end();
        }
    }

    // --- Control

    private void put(RoutingContext context) {
        String key = context.request().getParam("key");
        if (key == null || context.body().length() > ConfigurationStore.MAX_VALUE_BYTES) {
            badRequest(context, "needs the parameter key and a body of at most 1,000,000 bytes");
            return;
        }
        String text = context.body().asString();
        answerWrite(context, store.put(key, text == null ? "" : text));
    }

    private void publish(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        if (body == null || body.getLong("version") == null || body.getJsonObject("parts") == null) {
            badRequest(context, "needs a body with version and parts");
            return;
        }
        Map<String, String> parts = new TreeMap<>();
        JsonObject partTexts = body.getJsonObject("parts");
        partTexts.fieldNames().forEach(name -> parts.put(name, partTexts.getString(name)));
        answerWrite(context, store.publish(body.getLong("version"), parts));
    }

    private void answerWrite(RoutingContext context, long index) {
        answerPendingWatches();
        context.json(new JsonObject().put("index", index));
    }

    private void setMode(RoutingContext context) {
        String name = context.request().getParam("mode", "").toUpperCase(Locale.ROOT);
        for (ConfigurationStore.Mode mode : ConfigurationStore.Mode.values()) {
            if (mode.name().equals(name)) {
                store.setMode(mode, longParameter(context, "writes").orElse(1L).intValue());
                LOG.info("{} configuration service mode set to {}", Part.STANDIN.logPrefix(), mode);
                answerPendingWatches();
                context.json(new JsonObject().put("mode", name));
                return;
            }
        }
        badRequest(context, "mode is not one of up, down, stale, back");
    }

    private void counts(RoutingContext context) {
        ConfigurationStore.Counts counts = store.counts();
        JsonObject callsByKey = new JsonObject();
        counts.callsByKey().forEach(callsByKey::put);
        context.json(new JsonObject()
                .put("gets", counts.gets())
                .put("watches", counts.watches())
                .put("callsByKey", callsByKey));
    }

    static Optional<Long> longParameter(RoutingContext context, String parameter) {
        try {
            return Optional.ofNullable(context.request().getParam(parameter)).map(Long::valueOf);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    static void badRequest(RoutingContext context, String reason) {
        context.response().setStatusCode(400).end(reason + "\n");
    }
}
