package io.figspan.standin.engine;

import io.figspan.core.event.Part;
import io.figspan.core.id.HoldHandle;
import io.vertx.core.AbstractVerticle;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.Json;
import io.vertx.core.json.jackson.DatabindCodec;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP server of one stand-in engine. All its handlers and its batch run on one event loop. */
public final class EngineServer extends AbstractVerticle {
    private static final Logger LOG = LoggerFactory.getLogger(EngineServer.class);
    private static final String PREFIX = Part.STANDIN.logPrefix();
    private static final int MAX_BODY_BYTES = 32 << 20;

    private final EngineOptions options;
    private final String address;
    private int port;
    private long incarnation;
    private EngineCore core;
    private HttpServer server;
    private EngineMessages.Report report;
    private long reportAtNanos;
    private long reportSequence;
    private long fence;
    private String role = "mixed";
    private final Set<String> models = new LinkedHashSet<>();

    public EngineServer(EngineOptions options, String address, int port) {
        this.options = options;
        this.address = address;
        this.port = port;
    }

    /** The port in use; 0 before the start when a free port was asked for. */
    public int port() {
        return port;
    }

    public EngineOptions options() {
        return options;
    }

    /** Incarnation of the running engine; grows with each restart. */
    public long incarnation() {
        return incarnation;
    }

    @Override
    public void start(Promise<Void> started) {
        vertx.setPeriodic(options.stepMs(), id -> step());
        listen().<Void>mapEmpty().onComplete(started);
    }

    private Future<HttpServer> listen() {
        incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
        core = new EngineCore(options);
        report = null;
        models.clear();
        models.add(options.model());
        server = vertx.createHttpServer(
                new HttpServerOptions().setMaxHeaderSize(16_384).setTcpNoDelay(true));
        return server.requestHandler(router()).listen(port, address).onSuccess(listening -> {
            port = listening.actualPort();
            LOG.info("{} engine {}@{} listens on {}:{}", PREFIX, options.server(), incarnation, address, port);
        });
    }

    private Router router() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.post("/v1/completions").handler(this::complete);
        router.get("/v1/streams/:id").handler(this::resume);
        router.delete("/v1/streams/:id").handler(this::cancel);
        router.post("/v1/holds").handler(this::takeHold);
        router.delete("/v1/holds/*").handler(this::releaseHold);
        router.post("/v1/kv/segments/*").handler(this::prefillSegment);
        router.get("/v1/kv/*").handler(this::exportKv);
        router.put("/v1/kv/*").handler(this::importKv);
        router.post("/v1/model-orders").handler(this::modelOrder);
        router.get("/v1/report").handler(context -> reply(context, 200, refreshedReport()));
        router.get("/v1/report/fresh").handler(context -> {
            report = null;
            reply(context, 200, refreshedReport());
        });
        router.post("/v1/leave").handler(this::leave);
        router.post("/control/crash").handler(this::crash);
        router.post("/control/gate").handler(context -> {
            core.setGate(Integer.parseInt(context.request().getParam("tokens", "2147483647")));
            reply(context, 200, refreshedReport());
        });
        return router;
    }

    private void step() {
        if (core != null) {
            core.step(options.prefillTokensPerStep(), now());
        }
    }

    // Prompts and streams

    private void complete(RoutingContext context) {
        EngineMessages.Completion body = read(context, EngineMessages.Completion.class);
        if (!models.contains(body.model())) {
            refuse(context, 404, "model is not loaded");
            return;
        }
        HoldHandle handle = HoldHandle.parse(body.hold());
        Optional<EngineCore.KvState> imported = core.kvState(handle);
        long startDigest = imported.map(EngineCore.KvState::digest).orElse(Answers.EMPTY_DIGEST);
        int promptTokens = Answers.tokens(body.prompt());
        int cachedTokens = core.cache().lookUpAndStore(startDigest, body.prompt(), now());
        EngineJob job = new EngineJob(
                new EngineJob.Submission(
                        body.streamId(),
                        handle,
                        orderMs(body.priorityDelayMs()),
                        Answers.extend(startDigest, body.prompt()),
                        promptTokens + body.offset(),
                        promptTokens + (long) body.maxTokens(),
                        body.offset(),
                        body.maxTokens(),
                        body.expiresInMs()),
                cachedTokens,
                now());
        Optional<String> refusal = core.submit(job, now());
        if (refusal.isPresent()) {
            refuse(context, 503, refusal.get());
            return;
        }
        startReader(context, job, body.offset());
    }

    private void resume(RoutingContext context) {
        int offset = Integer.parseInt(context.request().getParam("offset", "0"));
        Optional<EngineJob> job = core.find(context.pathParam("id"));
        boolean readable = job.isPresent()
                && job.get().state() != EngineJob.State.FAILED
                && offset >= job.get().submission().firstOffset()
                && offset <= job.get().submission().maxTokens();
        if (!readable) {
            refuse(context, 410, "no such stream at this offset");
            return;
        }
        startReader(context, job.get(), offset);
    }

    private void startReader(RoutingContext context, EngineJob job, int offset) {
        HttpServerResponse response = context.response();
        response.putHeader("Figspan-Load", refreshedReport().compact());
        StreamReader reader = new StreamReader(response, offset);
        job.attach(reader);
        reader.begin(job);
    }

    private void cancel(RoutingContext context) {
        long reader = Long.parseLong(context.request().getParam("reader", "0"));
        boolean cancelled = core.cancel(context.pathParam("id"), reader, now());
        report = null;
        reply(context, cancelled ? 200 : 404, refreshedReport());
    }

    // Holds and segments

    private void takeHold(RoutingContext context) {
        EngineMessages.HoldRequest body = read(context, EngineMessages.HoldRequest.class);
        if (core.isLeaving()) {
            refuse(context, 503, "leaving");
            return;
        }
        EngineMemory.Taken taken =
                core.memory().take(HoldHandle.parse(body.handle()), body.tokens(), body.expiresInMs(), now());
        switch (taken) {
            case OK -> reply(context, 200, body);
            case FULL -> refuse(context, 507, "not enough free memory");
            case RELEASED -> refuse(context, 410, "hold was released");
            default -> throw new IllegalStateException(taken.toString());
        }
    }

    private void releaseHold(RoutingContext context) {
        HoldHandle handle = handleInPath(context, "/v1/holds/");
        boolean unreadOnly = context.request().getParam("unread") != null;
        if (unreadOnly && core.hasReader(handle)) {
            refuse(context, 409, "the stream of this hold has a reader");
            return;
        }
        boolean wasHeld = core.memory().holds(handle);
        core.release(handle, now());
        report = null;
        reply(context, wasHeld ? 200 : 404, refreshedReport());
    }

    private void prefillSegment(RoutingContext context) {
        EngineMessages.Segment body = read(context, EngineMessages.Segment.class);
        HoldHandle handle = handleInPath(context, "/v1/kv/segments/");
        if (!core.memory().holds(handle)) {
            refuse(context, 410, "no such hold");
            return;
        }
        EngineCore.KvState before = core.kvState(handle).orElse(new EngineCore.KvState(Answers.EMPTY_DIGEST, 0));
        int tokens = Answers.tokens(body.text());
        EngineCore.KvState after =
                new EngineCore.KvState(Answers.extend(before.digest(), body.text()), before.tokens() + tokens);
        EngineJob job = new EngineJob(
                new EngineJob.Submission(
                        "",
                        handle,
                        orderMs(body.priorityDelayMs()),
                        after.digest(),
                        tokens,
                        0,
                        0,
                        0,
                        TimeUnit.HOURS.toMillis(1)),
                0,
                now());
        job.attach(new SegmentReader(context, handle, after));
        Optional<String> refusal = core.submit(job, now());
        refusal.ifPresent(reason -> refuse(context, 503, reason));
    }

    /** Answers a segment's request when the segment is prefilled. */
    private final class SegmentReader implements EngineJob.Reader {
        private final RoutingContext context;
        private final HoldHandle handle;
        private final EngineCore.KvState after;

        SegmentReader(RoutingContext context, HoldHandle handle, EngineCore.KvState after) {
            this.context = context;
            this.handle = handle;
            this.after = after;
        }

        @Override
        public void onProgress(EngineJob job) {
            if (!job.isOver() || context.response().ended()) {
                return;
            }
            if (job.state() == EngineJob.State.FAILED) {
                refuse(context, 410, job.failure());
                return;
            }
            core.setKvState(handle, after);
            reply(context, 200, blob(after));
        }

        @Override
        public void onSuperseded() {}

        @Override
        public boolean isOpen() {
            return !context.response().closed();
        }
    }

    private void exportKv(RoutingContext context) {
        Optional<EngineCore.KvState> state = core.kvState(handleInPath(context, "/v1/kv/"));
        if (state.isEmpty()) {
            refuse(context, 410, "no such hold");
            return;
        }
        reply(context, 200, blob(state.get()));
    }

    private void importKv(RoutingContext context) {
        HoldHandle handle = handleInPath(context, "/v1/kv/");
        EngineMessages.KvBlob body = read(context, EngineMessages.KvBlob.class);
        if (!core.memory().holds(handle)) {
            refuse(context, 410, "no such hold");
            return;
        }
        core.setKvState(handle, new EngineCore.KvState(Long.parseUnsignedLong(body.digest(), 16), body.tokens()));
        reply(context, 200, body);
    }

    // Model orders, leaving and crashes

    private void modelOrder(RoutingContext context) {
        EngineMessages.ModelOrder body = read(context, EngineMessages.ModelOrder.class);
        if (options.checksFencingTokens() && body.fence() < fence) {
            refuse(context, 409, "fencing token " + body.fence() + " is older than " + fence);
            return;
        }
        fence = Math.max(fence, body.fence());
        switch (body.action()) {
            case "load" -> models.add(body.model());
            case "unload" -> models.remove(body.model());
            case "role" -> role = body.model();
            default -> {
                refuse(context, 400, "unknown action " + body.action());
                return;
            }
        }
        report = null;
        reply(context, 200, refreshedReport());
    }

    private void leave(RoutingContext context) {
        core.leave();
        report = null;
        LOG.info("{} engine {}@{} is leaving", PREFIX, options.server(), incarnation);
        reply(context, 200, refreshedReport());
    }

    private void crash(RoutingContext context) {
        long restartMs = Long.parseLong(context.request().getParam("restartMs", "0"));
        LOG.info("{} engine {}@{} crashes, restart after {} ms", PREFIX, options.server(), incarnation, restartMs);
        core = null;
        server.close().onComplete(closed -> {
            if (restartMs > 0) {
                vertx.setTimer(restartMs, id -> listen());
            }
        });
    }

    // Helpers

    private EngineMessages.Report refreshedReport() {
        long nowNanos = now();
        boolean isOld =
                report == null || nowNanos - reportAtNanos >= TimeUnit.MILLISECONDS.toNanos(options.reportLagMs());
        if (isOld) {
            report = newReport(nowNanos);
            reportAtNanos = nowNanos;
        }
        return report;
    }

    private EngineMessages.Report newReport(long nowNanos) {
        List<EngineMessages.ReportedHold> holds = new ArrayList<>();
        for (EngineMemory.Hold hold : core.memory().list()) {
            long expiresInMs = TimeUnit.NANOSECONDS.toMillis(hold.expiresAtNanos() - nowNanos);
            holds.add(new EngineMessages.ReportedHold(hold.handle().toString(), hold.tokens(), expiresInMs));
        }
        List<EngineMessages.ReportedCacheEvent> events = new ArrayList<>();
        for (PrefixCache.Event event : core.cache().eventsAfter(0, nowNanos)) {
            events.add(new EngineMessages.ReportedCacheEvent(event.sequence(), event.kind(), event.prefixDigest()));
        }
        return new EngineMessages.Report(
                options.server().value(),
                incarnation,
                ++reportSequence,
                core.isLeaving() ? "leaving" : "live",
                core.backlogTokens(),
                core.memory().freeTokens(),
                options.memoryTokens(),
                core.runningJobs(),
                Long.toHexString(core.cache().hint()),
                core.acceptedJobs(),
                fence,
                role,
                List.copyOf(models),
                holds,
                events);
    }

    private void reply(RoutingContext context, int status, Object body) {
        if (context.response().ended() || context.response().closed()) {
            return;
        }
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .putHeader("Figspan-Load", refreshedReport().compact())
                .end(Json.encode(body));
    }

    private void refuse(RoutingContext context, int status, String reason) {
        reply(context, status, new EngineMessages.End("", 0, false, reason));
    }

    private static HoldHandle handleInPath(RoutingContext context, String prefix) {
        return HoldHandle.parse(
                context.normalizedPath().substring(prefix.length()).replace("%23", "#"));
    }

    private static EngineMessages.KvBlob blob(EngineCore.KvState state) {
        return new EngineMessages.KvBlob(Long.toHexString(state.digest()), state.tokens());
    }

    private static <T> T read(RoutingContext context, Class<T> type) {
        try {
            return DatabindCodec.mapper().readValue(context.body().buffer().getBytes(), type);
        } catch (java.io.IOException e) {
            throw new io.figspan.core.error.FigspanException(
                    io.figspan.core.error.ProblemKind.MALFORMED_BODY,
                    e.getMessage(),
                    io.figspan.core.error.Location.of("engine"),
                    e);
        }
    }

    /** Place in the order of service: the time of receipt plus the delay that the host asks for. */
    private static long orderMs(long priorityDelayMs) {
        return TimeUnit.NANOSECONDS.toMillis(now()) + priorityDelayMs;
    }

    private static long now() {
        return System.nanoTime();
    }
}
