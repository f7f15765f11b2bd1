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
 * Routes of the stand-in configuration service.
 *
 * <p>{@code GET /config/KEY} answers 200 with the value, or 404, with its index in the header {@code Config-Index} (0
 * for a missing key). With {@code ?watch=INDEX&waitMs=N} the answer waits until the index differs from INDEX, at most N
 * ms, and is 304 when it does not. When the service is down, each call gets 503 and pending watches are cut off.
 *
 * <p>Control: {@code POST /control/config/put?key=K} with the value as body; {@code POST /control/config/publish} with
 * {@code {"version":N,"parts":{"NAME":"TOML"}}}; {@code POST /control/config/mode?mode=up|down|stale|back&writes=N};
 * {@code GET /control/config/counts}.
 */
final class ConfigurationService {
    /** Header with the index of a value. */
    static final String INDEX_HEADER = "Config-Index";

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationService.class);
    private static final long MAX_WAIT_MS = 60_000;

    /** Bound of pending watches; further ones are answered at once with 503. */
    private static final int MAX_PENDING = 4_096;

    private static final class Watch {
        final RoutingContext context;
        final String key;
        final long seenIndex;
        long timer;

        Watch(RoutingContext context, String key, long seenIndex) {
            this.context = context;
            this.key = key;
            this.seenIndex = seenIndex;
        }
    }

    private final Vertx vertx;
    private final ConfigurationStore store;
    private final Context owner;

    /** Pending watches; touched only on the context of the owner. */
    private final List<Watch> pending = new ArrayList<>();

    ConfigurationService(Vertx vertx, ConfigurationStore store) {
        this.vertx = vertx;
        this.store = store;
        this.owner = vertx.getOrCreateContext();
    }

    void addRoutes(Router router) {
        router.get("/config/*").handler(context -> owner.runOnContext(unused -> get(context)));
        router.post("/control/config/put").handler(this::put);
        router.post("/control/config/publish").handler(this::publish);
        router.post("/control/config/mode").handler(this::setMode);
        router.get("/control/config/counts").handler(this::counts);
    }

    /** Answers the pending watches that a change of the store concerns. */
    void wakeWatches() {
        owner.runOnContext(unused -> {
            boolean down = store.mode() == ConfigurationStore.Mode.DOWN;
            for (Watch watch : List.copyOf(pending)) {
                if (down) {
                    drop(watch);
                    watch.context.request().connection().close();
                } else if (store.differs(watch.key, watch.seenIndex)) {
                    drop(watch);
                    answer(watch.context, watch.key);
                }
            }
        });
    }

    // --- Readers

    private void get(RoutingContext context) {
        String key = context.request().path().substring("/config/".length());
        Optional<Long> seenIndex = number(context, "watch");
        store.countCall(key, seenIndex.isPresent());
        if (context.response().closed()) {
            return;
        }
        if (store.mode() == ConfigurationStore.Mode.DOWN || pending.size() >= MAX_PENDING) {
            context.response().setStatusCode(503).end();
            return;
        }
        if (seenIndex.isEmpty() || store.differs(key, seenIndex.get())) {
            answer(context, key);
            return;
        }
        startWatch(new Watch(context, key, seenIndex.get()));
    }

    private void startWatch(Watch watch) {
        long waitMs = Math.min(MAX_WAIT_MS, number(watch.context, "waitMs").orElse(MAX_WAIT_MS));
        pending.add(watch);
        watch.timer = vertx.setTimer(Math.max(1, waitMs), unused -> {
            if (pending.remove(watch)) {
                answerUnchanged(watch);
            }
        });
        watch.context.response().closeHandler(unused -> owner.runOnContext(ignored -> drop(watch)));
    }

    private void drop(Watch watch) {
        if (pending.remove(watch)) {
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
                    .putHeader(INDEX_HEADER, Long.toString(watch.seenIndex))
                    .end();
        }
    }

    // --- Control

    private void put(RoutingContext context) {
        String key = context.request().getParam("key");
        if (key == null || context.body().length() > ConfigurationStore.MAX_VALUE_BYTES) {
            refuse(context, "needs the parameter key and a body of at most 1,000,000 bytes");
            return;
        }
        String text = context.body().asString();
        finishWrite(context, store.put(key, text == null ? "" : text));
    }

    private void publish(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        if (body == null || body.getLong("version") == null || body.getJsonObject("parts") == null) {
            refuse(context, "needs a body with version and parts");
            return;
        }
        Map<String, String> parts = new TreeMap<>();
        JsonObject written = body.getJsonObject("parts");
        written.fieldNames().forEach(name -> parts.put(name, written.getString(name)));
        finishWrite(context, store.publish(body.getLong("version"), parts));
    }

    private void finishWrite(RoutingContext context, long index) {
        wakeWatches();
        context.json(new JsonObject().put("index", index));
    }

    private void setMode(RoutingContext context) {
        String name = context.request().getParam("mode", "").toUpperCase(Locale.ROOT);
        for (ConfigurationStore.Mode mode : ConfigurationStore.Mode.values()) {
            if (mode.name().equals(name)) {
                store.setMode(mode, number(context, "writes").orElse(1L).intValue());
                LOG.info("{} the configuration service is now {}", Part.STANDIN.logPrefix(), mode);
                wakeWatches();
                context.json(new JsonObject().put("mode", name));
                return;
            }
        }
        refuse(context, "mode is not one of up, down, stale, back");
    }

    private void counts(RoutingContext context) {
        ConfigurationStore.Counts counts = store.counts();
        JsonObject byKey = new JsonObject();
        counts.callsByKey().forEach(byKey::put);
        context.json(new JsonObject()
                .put("gets", counts.gets())
                .put("watches", counts.watches())
                .put("callsByKey", byKey));
    }

    static Optional<Long> number(RoutingContext context, String parameter) {
        try {
            return Optional.ofNullable(context.request().getParam(parameter)).map(Long::valueOf);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    static void refuse(RoutingContext context, String reason) {
        context.response().setStatusCode(400).end(reason + "\n");
    }
}
