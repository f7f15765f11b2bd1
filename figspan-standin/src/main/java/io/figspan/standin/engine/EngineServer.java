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

/** HTTP server of one stand-in engine. All handlers and batch steps run on one event loop. */
public final class EngineServer extends AbstractVerticle {
    private static final Logger LOG = LoggerFactory.getLogger(EngineServer.class);
    private static final String LOG_PREFIX = Part.STANDIN.logPrefix();
    private static final int MAX_BODY_BYTES = 32 << 20;

    private final EngineOptions options;
    private final String address;
    private int port;
    private long incarnation;
    private EngineCore core;
    private HttpServer server;
    private EngineMessages.Report report;
    private long reportBuiltAtNanos;
    private long reportSequence;
    private long highestFencingToken;
    private String role = "mixed";
    private final Set<String> models = new LinkedHashSet<>();

    public EngineServer(EngineOptions options, String address, int port) {
        this.options = options;
        this.address = address;
        this.port = port;
    }

    /** Returns the port in use; 0 before the start if a free port was requested. */
    public int port() {
        return port;
    }

    public EngineOptions options() {
        return options;
    }

    /** Returns the incarnation of the running engine; it increases with each restart. */
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
            LOG.info("{} engine {}@{} listens on {}:{}", LOG_PREFIX, options.server(), incarnation, address, port);
        });
    }

    private Router router() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.post("/v1/completions").handler(this::complete);
        router.get("/v1/streams/:id").handler(this::resume);
        router.delete("/v1/streams/:id").handler(this::cancel);
        router.post("/v1/holds").handler(this::createHold);
        router.delete("/v1/holds/*").handler(this::releaseHold);
        router.post("/v1/kv/segments/*").handler(this::prefillSegment);
        router.get("/v1/kv/*").handler(this::exportKv);
        router.put("/v1/kv/*").handler(this::importKv);
        router.post("/v1/model-orders").handler(this::applyModelOrder);
        router.get("/v1/report").handler(context -> reply(context, 200, currentReport()));
        router.get("/v1/report/fresh").handler(context -> {
            report = null;
            reply(context, 200, currentReport());
        });
        router.post("/v1/leave").handler(this::leave);
        router.post("/control/crash").handler(this::crash);
        router.post("/control/gate").handler(context -> {
            core.setGenerationLimit(Integer.parseInt(context.request().getParam("tokens", "2147483647")));
            reply(context, 200, currentReport());
        });
        return router;
    }

    private void step() {
        if (core != null) {
            core.step(options.prefillTokensPerStep(), now());
        }
    }

    // Completions and streams

    private void complete(RoutingContext context) {
        EngineMessages.CompletionRequest body = readBody(context, EngineMessages.CompletionRequest.class);
        if (!models.contains(body.model())) {
            replyError(context, 404, "model is not loaded");
            return;
        }
        HoldHandle handle = HoldHandle.parse(body.hold());
        Optional<EngineCore.KvState> initialState = core.kvState(handle);
        long startDigest = initialState.map(EngineCore.KvState::digest).orElse(Answers.EMPTY_DIGEST);
        int promptTokens = Answers.countTokens(body.prompt());
        int cachedTokens = core.cache().lookUpAndStore(startDigest, body.prompt(), now());
        EngineJob job = new EngineJob(
                new EngineJob.Submission(
                        body.streamId(),
                        handle,
                        schedulingKeyMs(body.priorityDelayMs()),
                        Answers.extendDigest(startDigest, body.prompt()),
                        promptTokens + body.offset(),
                        promptTokens + (long) body.maxTokens(),
                        body.offset(),
                        body.maxTokens(),
                        body.expiresInMs()),
                cachedTokens,
                now());
        Optional<String> refusal = core.submit(job, now());
        if (refusal.isPresent()) {
            replyError(context, 503, refusal.get());
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
            replyError(context, 410, "no such stream at this offset");
            return;
        }
        startReader(context, job.get(), offset);
    }

    private void startReader(RoutingContext context, EngineJob job, int offset) {
        HttpServerResponse response = context.response();
        response.putHeader("Figspan-Load", currentReport().toHeaderValue());
        StreamReader reader = new StreamReader(response, offset);
        job.attach(reader);
        reader.startResponse(job);
    }

    private void cancel(RoutingContext context) {
        long readerNumber = Long.parseLong(context.request().getParam("reader", "0"));
        boolean cancelled = core.cancel(context.pathParam("id"), readerNumber, now());
        report = null;
        reply(context, cancelled ? 200 : 404, currentReport());
    }

    // Holds and segments

    private void createHold(RoutingContext context) {
        EngineMessages.HoldRequest body = readBody(context, EngineMessages.HoldRequest.class);
        if (core.isLeaving()) {
            replyError(context, 503, "leaving");
            return;
        }
        EngineMemory.AllocationResult result =
                core.memory().allocate(HoldHandle.parse(body.handle()), body.tokens(), body.expiresInMs(), now());
        switch (result) {
            case OK -> reply(context, 200, body);
            case FULL -> replyError(context, 507, "not enough free memory");
            case RELEASED -> replyError(context, 410, "hold was released");
            default -> throw new IllegalStateException(result.toString());
        }
    }

    private void releaseHold(RoutingContext context) {
        HoldHandle handle = handleInPath(context, "/v1/holds/");
        boolean unreadOnly = context.request().getParam("unread") != null;
        if (unreadOnly && core.hasReader(handle)) {
            replyError(context, 409, "the stream of this hold has a reader");
            return;
        }
        boolean wasHeld = core.memory().hasHold(handle);
        core.release(handle, now());
        report = null;
        reply(context, wasHeld ? 200 : 404, currentReport());
    }

    private void prefillSegment(RoutingContext context) {
        EngineMessages.SegmentRequest body = readBody(context, EngineMessages.SegmentRequest.class);
        HoldHandle handle = handleInPath(context, "/v1/kv/segments/");
        if (!core.memory().hasHold(handle)) {
            replyError(context, 410, "no such hold");
            return;
        }
        EngineCore.KvState stateBefore = core.kvState(handle).orElse(new EngineCore.KvState(Answers.EMPTY_DIGEST, 0));
        int tokens = Answers.countTokens(body.text());
        EngineCore.KvState stateAfter = new EngineCore.KvState(
                Answers.extendDigest(stateBefore.digest(), body.text()), stateBefore.tokens() + tokens);
        EngineJob job = new EngineJob(
                new EngineJob.Submission(
                        "",
                        handle,
                        schedulingKeyMs(body.priorityDelayMs()),
                        stateAfter.digest(),
                        tokens,
                        0,
                        0,
                        0,
                        TimeUnit.HOURS.toMillis(1)),
                0,
                now());
        job.attach(new SegmentResponder(context, handle, stateAfter));
        Optional<String> refusal = core.submit(job, now());
        refusal.ifPresent(reason -> replyError(context, 503, reason));
    }

    /** Sends the response to a segment request when its job has finished or failed. */
    private final class SegmentResponder implements EngineJob.Reader {
        private final RoutingContext context;
        private final HoldHandle handle;
        private final EngineCore.KvState stateAfter;

        SegmentResponder(RoutingContext context, HoldHandle handle, EngineCore.KvState stateAfter) {
            this.context = context;
            this.handle = handle;
            this.stateAfter = stateAfter;
        }

        @Override
        public void onProgress(EngineJob job) {
            if (!job.isTerminal() || context.response().ended()) {
                return;
            }
            if (job.state() == EngineJob.State.FAILED) {
                replyError(context, 410, job.failure());
                return;
            }
            core.setKvState(handle, stateAfter);
            reply(context, 200, toKvBlob(stateAfter));
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
            replyError(context, 410, "no such hold");
            return;
        }
        reply(context, 200, toKvBlob(state.get()));
    }

    private void importKv(RoutingContext context) {
        HoldHandle handle = handleInPath(context, "/v1/kv/");
        EngineMessages.KvBlob body = readBody(context, EngineMessages.KvBlob.class);
        if (!core.memory().hasHold(handle)) {
            replyError(context, 410, "no such hold");
            return;
        }
        core.setKvState(handle, new EngineCore.KvState(Long.parseUnsignedLong(body.digest(), 16), body.tokens()));
        reply(context, 200, body);
    }

    // Model orders, leaving and crashes

    private void applyModelOrder(RoutingContext context) {
        EngineMessages.ModelOrder body = readBody(context, EngineMessages.ModelOrder.class);
        if (options.checksFencingTokens() && body.fencingToken() < highestFencingToken) {
            replyError(context, 409, "fencing token " + body.fencingToken() + " is older than " + highestFencingToken);
            return;
        }
        highestFencingToken = Math.max(highestFencingToken, body.fencingToken());
        switch (body.action()) {
            case "load" -> models.add(body.model());
            case "unload" -> models.remove(body.model());
            case "role" -> role = body.model();
            default -> {
                replyError(context, 400, "unknown action " + body.action());
                return;
            }
        }
        report = null;
        reply(context, 200, currentReport());
    }

    private void leave(RoutingContext context) {
        core.leave();
        report = null;
        LOG.info("{} engine {}@{} is leaving and refuses new jobs", LOG_PREFIX, options.server(), incarnation);
        reply(context, 200, currentReport());
    }

    private void crash(RoutingContext context) {
        long restartMs = Long.parseLong(context.request().getParam("restartMs", "0"));
        LOG.info(
                "{} engine {}@{} simulates a crash and restarts after {} ms (0: no restart)",
                LOG_PREFIX,
                options.server(),
                incarnation,
                restartMs);
        core = null;
        server.close().onComplete(closed -> {
            if (restartMs > 0) {
                vertx.setTimer(restartMs, id -> listen());
            }
        });
    }

    // Helpers

    private EngineMessages.Report currentReport() {
        long nowNanos = now();
        boolean isStale =
                report == null || nowNanos - reportBuiltAtNanos >= TimeUnit.MILLISECONDS.toNanos(options.reportLagMs());
        if (isStale) {
            report = buildReport(nowNanos);
            reportBuiltAtNanos = nowNanos;
        }
        return report;
    }

    private EngineMessages.Report buildReport(long nowNanos) {
        List<EngineMessages.ReportedHold> holds = new ArrayList<>();
        for (EngineMemory.Hold hold : core.memory().holds()) {
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
                Long.toHexString(core.cache().bloomFilter()),
                core.acceptedJobs(),
                highestFencingToken,
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
                .putHeader("Figspan-Load", currentReport().toHeaderValue())
                .end(Json.encode(body));
    }

    private void replyError(RoutingContext context, int status, String reason) {
        reply(context, status, new EngineMessages.StreamEnd("", 0, false, reason));
    }

    private static HoldHandle handleInPath(RoutingContext context, String prefix) {
        return HoldHandle.parse(
                context.normalizedPath().substring(prefix.length()).replace("%23", "#"));
    }

    private static EngineMessages.KvBlob toKvBlob(EngineCore.KvState state) {
        return new EngineMessages.KvBlob(Long.toHexString(state.digest()), state.tokens());
    }

    private static <T> T readBody(RoutingContext context, Class<T> type) {
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

    /** Returns the scheduling key of a job: the time of receipt plus the delay requested by the host. */
    private static long schedulingKeyMs(long priorityDelayMs) {
        return TimeUnit.NANOSECONDS.toMillis(now()) + priorityDelayMs;
    }

    private static long now() {
        return System.nanoTime();
    }
}
