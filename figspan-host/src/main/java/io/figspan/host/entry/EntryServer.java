package io.figspan.host.entry;

import io.figspan.cluster.loan.LoanLedger;
import io.figspan.control.resume.ResumeToken;
import io.figspan.control.resume.ResumeTokenCodec;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.event.Part;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.time.Deadline;
import io.figspan.host.HostContext;
import io.figspan.policy.fair.PriorityClass;
import io.figspan.settings.ResolvedSettings;
import io.figspan.settings.SettingKey;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.Json;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.function.LongPredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The caller port. Bounds what one caller can cost: body and header size, connections and slow sending. */
public final class EntryServer {
    private static final Logger LOG = LoggerFactory.getLogger(EntryServer.class);
    private static final String PREFIX = Part.ENTRY.logPrefix();

    /** A million tokens of about 4 bytes, with room for JSON escapes. */
    static final int MAX_PROMPT_BODY_BYTES = 16 << 20;

    static final int MAX_ORDER_BODY_BYTES = 256 << 10;
    static final int MAX_HEADER_BYTES = 16 << 10;
    static final int MAX_CONNECTIONS = 4_096;

    /** A body of 16 MB takes less than this at 1 MB per second. */
    static final long MAX_BODY_MS = 20_000;

    /** Lets the problem document reach a caller that is still sending before its connection is closed. */
    private static final long CLOSE_DELAY_MS = 100;

    /** A host that starts has its settings from peers or the service within a second. */
    private static final long START_RETRY_AFTER_MS = 1_000;

    private static final long ORDER_BODY_MS = 5_000;
    private static final int IDLE_SECONDS = 60;

    /**
     * Limits of one caller port; tests use smaller ones.
     *
     * @param shareWaitNanos wait of a new process before it uses its share of the organisations' limits
     */
    public record Limits(int promptBodyBytes, int connections, long bodyMs, long shareWaitNanos) {
        public static final Limits DEFAULT =
                new Limits(MAX_PROMPT_BODY_BYTES, MAX_CONNECTIONS, MAX_BODY_MS, LoanLedger.RESTART_WAIT_NANOS);
    }

    private final HostContext context;
    private final Limits limits;
    private final EntryDirectory directory;
    private final OrderHandler orders;
    private final LimitGate limitGate;
    private final LimitGate.Lenders lenders;
    private final Dispatcher dispatcher;
    private final EntryRefusals refusals;
    private HttpServer server;
    private int connections;
    private final RequestsInProgress inProgress = new RequestsInProgress();
    private boolean refusing;

    /**
     * Creates the server; it does not listen yet.
     *
     * @param admission whether a request that may take this long, in milliseconds, ends before the process exits
     */
    public EntryServer(
            HostContext context,
            Limits limits,
            EntryDirectory directory,
            OrderHandler orders,
            LimitGate limitGate,
            LimitGate.Lenders lenders,
            LongPredicate admission) {
        this.context = context;
        this.limits = limits;
        this.directory = directory;
        this.orders = orders;
        this.limitGate = limitGate;
        this.lenders = lenders;
        this.refusals = new EntryRefusals(context, admission);
        this.dispatcher = new Dispatcher(context);
        context.backends().setChangeListener(dispatcher::poll);
    }

    /** Starts to listen and returns the port in use. */
    public Future<Integer> listen() {
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setIdleTimeout(IDLE_SECONDS)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false)
                .setTcpNoDelay(true);
        server = context.vertx().createHttpServer(options);
        return server.connectionHandler(this::onConnection)
                .requestHandler(this::route)
                .listen(context.config().callerPort(), context.config().bindAddress())
                .map(HttpServer::actualPort);
    }

    public int inFlight() {
        return inProgress.size();
    }

    public int queued() {
        return dispatcher.queued();
    }

    /** Refuses new requests from now on and finishes those in flight. */
    public void refuseNew() {
        refusing = true;
    }

    /** Gives each request in progress its final answer, because the process exits before they can end. */
    public void endAll() {
        inProgress.endAll();
    }

    public Future<Void> close() {
        return server.close();
    }

    // Routing

    private void onConnection(HttpConnection connection) {
        connections++;
        connection.closeHandler(nothing -> connections--);
        if (connections > limits.connections()) {
            context.count("connections.refused");
            connection.close();
        }
    }

    private void route(HttpServerRequest request) {
        if (refusing) {
            EntryRefusals.refuse(
                    request,
                    Problem.notRun(ProblemKind.SHUTTING_DOWN, "this host takes no new requests")
                            .withRetryAfterMs(1));
            return;
        }
        String route = request.method() + " " + request.path();
        boolean lacksSettings =
                context.settings().version().equals(SettingsVersion.NONE) && !route.equals("GET /v1/hosts");
        if (lacksSettings) {
            EntryRefusals.refuse(
                    request,
                    Problem.notRun(ProblemKind.OVERLOADED, "this host has just started and has no settings yet")
                            .withRetryAfterMs(START_RETRY_AFTER_MS));
            return;
        }
        switch (route) {
            case "GET /v1/hosts" -> listHosts(request);
            case "POST /v1/completions" ->
                withBody(
                        request,
                        limits.promptBodyBytes(),
                        limits.bodyMs(),
                        SettingKey.PROMPTS_DEADLINE_MS,
                        (head, body) -> complete(request, head, body));
            case "GET /v1/completions/stream" -> withHead(request, head -> resume(request, head));
            case "POST /v1/tickets" ->
                withBody(
                        request,
                        MAX_ORDER_BODY_BYTES,
                        ORDER_BODY_MS,
                        SettingKey.ORDERS_DEADLINE_MS,
                        (head, body) -> orders.issue(request, head, body));
            case "POST /v1/orders" ->
                withBody(
                        request,
                        MAX_ORDER_BODY_BYTES,
                        ORDER_BODY_MS,
                        SettingKey.ORDERS_DEADLINE_MS,
                        (head, body) -> orders.run(request, head, body));
            default -> routeOther(request);
        }
    }

    private void routeOther(HttpServerRequest request) {
        String prefix = "/v1/orders/";
        boolean isOutcome =
                request.method().equals(HttpMethod.GET) && request.path().startsWith(prefix);
        if (isOutcome) {
            withHead(
                    request,
                    head -> orders.outcome(request, head, request.path().substring(prefix.length())));
            return;
        }
        Problems.write(
                request.response(),
                Problem.notRun(ProblemKind.NOT_FOUND, request.method() + " " + request.path() + " is not served"));
    }

    private void withHead(HttpServerRequest request, java.util.function.Consumer<RequestHead> action) {
        Result<RequestHead> head =
                RequestHead.parse(request.headers(), context.newStream().value());
        if (head instanceof Result.Failed<RequestHead> failed) {
            EntryRefusals.refuse(request, failed.problem());
            return;
        }
        action.accept(((Result.Ok<RequestHead>) head).value());
    }

    private void withBody(
            HttpServerRequest request,
            int maxBytes,
            long maxMs,
            SettingKey defaultDeadline,
            BiConsumer<RequestHead, Buffer> action) {
        track(request);
        Future<Result<Buffer>> body = BodyCollector.collect(context.vertx(), request, maxBytes, maxMs);
        withHead(request, head -> {
            ResolvedSettings settings = context.tree().resolve(head.organisation(), head.service());
            if (!refusals.admits(request, head, head.deadlineMs().orElse(settings.integer(defaultDeadline)))) {
                return;
            }
            body.onSuccess(collected -> {
                if (request.response().ended()) {
                    return;
                }
                if (collected instanceof Result.Failed<Buffer> failed) {
                    // The rest of the body is not read, so the connection cannot carry another request.
                    request.response().putHeader("Connection", "close");
                    EntryRefusals.refuse(request, failed.problem());
                    context.vertx()
                            .setTimer(CLOSE_DELAY_MS, id -> request.connection().close());
                    return;
                }
                action.accept(head, ((Result.Ok<Buffer>) collected).value());
            });
        });
    }

    /** Counts a request as in flight until its response ends or its connection closes. */
    private void track(HttpServerRequest request) {
        inProgress.put(request, () -> refusals.refuseUnstarted(request));
        request.response().endHandler(nothing -> inProgress.remove(request));
        request.connection().closeHandler(nothing -> {
            connections--;
            inProgress.remove(request);
        });
    }

    // Entry list and prompts

    private void listHosts(HttpServerRequest request) {
        String organisation = request.getParam("organisation");
        try {
            io.figspan.core.id.OrganisationId id = io.figspan.core.id.OrganisationId.of(organisation);
            request.response().putHeader("Content-Type", "application/json").end(Json.encode(directory.answer(id)));
        } catch (io.figspan.core.error.FigspanException e) {
            Problems.write(request.response(), Problem.notRun(e.kind(), e.detail()));
        }
    }

    private void complete(HttpServerRequest request, RequestHead head, Buffer body) {
        Result<CompletionRequest> parsed = CompletionRequest.parse(body);
        if (parsed instanceof Result.Failed<CompletionRequest> failed) {
            Problems.write(request.response(), failed.problem());
            return;
        }
        CompletionRequest prompt = ((Result.Ok<CompletionRequest>) parsed).value();
        ResolvedSettings settings = context.tree().resolve(head.organisation(), head.service());
        boolean tooLong = prompt.promptTokens() > settings.integer(SettingKey.PROMPTS_MAX_TOKENS)
                || prompt.outputTokens() > settings.integer(SettingKey.PROMPTS_MAX_OUTPUT_TOKENS);
        if (tooLong) {
            Problems.write(
                    request.response(),
                    Problem.notRun(
                            ProblemKind.INVALID_VALUE,
                            "the prompt has " + prompt.promptTokens() + " tokens and asks for "
                                    + prompt.outputTokens() + "; the settings allow "
                                    + settings.integer(SettingKey.PROMPTS_MAX_TOKENS) + " and "
                                    + settings.integer(SettingKey.PROMPTS_MAX_OUTPUT_TOKENS)));
            return;
        }
        long deadlineMs = deadlineMs(head, settings, prompt.promptTokens());
        if (!refusals.admits(request, head, deadlineMs)) {
            return;
        }
        long workTokens = prompt.promptTokens() + (long) prompt.outputTokens();
        if (limitGate.take(head.organisation(), workTokens, lenders) instanceof Result.Failed<Long> refused) {
            context.count("prompts.failed." + refused.problem().kind().wireName());
            Problems.write(request.response(), refused.problem());
            return;
        }
        Deadline deadline = Deadline.after(context.nowNanos(), deadlineMs);
        CallerStream caller =
                new CallerStream(request.response(), head.request().value());
        CompletionCall call = new CompletionCall(
                context,
                dispatcher,
                tokens(),
                head,
                prompt,
                caller,
                priority(head, settings),
                deadline,
                () -> limitGate.refund(head.organisation(), workTokens));
        inProgress.put(request, call::endForExit);
        call.start();
    }

    private void resume(HttpServerRequest request, RequestHead head) {
        ResumeTokenCodec tokens = tokens();
        Result<ResumeToken> position =
                tokens.decode(request.getHeader(CallerHeaders.LAST_EVENT_ID), head.organisation(), head.request());
        if (position instanceof Result.Failed<ResumeToken> failed) {
            context.count("tokens.refused");
            LOG.warn("{} request {}: resume token refused", PREFIX, head.request());
            Problems.write(request.response(), failed.problem());
            return;
        }
        ResolvedSettings settings = context.tree().resolve(head.organisation(), head.service());
        long deadlineMs = deadlineMs(head, settings, 0);
        if (!refusals.admits(request, head, deadlineMs)) {
            return;
        }
        track(request);
        Deadline deadline = Deadline.after(context.nowNanos(), deadlineMs);
        CallerStream caller =
                new CallerStream(request.response(), head.request().value());
        ResumeCall call = new ResumeCall(context, caller, head, deadline);
        inProgress.put(request, call::endForExit);
        call.start(tokens, ((Result.Ok<ResumeToken>) position).value());
    }

    private static long deadlineMs(RequestHead head, ResolvedSettings settings, int promptTokens) {
        long perThousandMs = settings.integer(SettingKey.PROMPTS_DEADLINE_MS_PER_THOUSAND_TOKENS);
        return head.deadlineMs()
                .orElse(settings.integer(SettingKey.PROMPTS_DEADLINE_MS) + promptTokens * perThousandMs / 1_000);
    }

    private static PriorityClass priority(RequestHead head, ResolvedSettings settings) {
        PriorityClass wanted = head.priority()
                .orElse(PriorityClass.valueOf(
                        settings.text(SettingKey.PRIORITIES_DEFAULT).toUpperCase(Locale.ROOT)));
        PriorityClass highest = PriorityClass.valueOf(
                settings.text(SettingKey.PRIORITIES_HIGHEST).toUpperCase(Locale.ROOT));
        return wanted.level() < highest.level() ? highest : wanted;
    }

    private ResumeTokenCodec tokens() {
        return new ResumeTokenCodec(context.tokenKeys());
    }
}
