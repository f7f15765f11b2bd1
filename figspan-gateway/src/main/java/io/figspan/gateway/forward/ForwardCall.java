package io.figspan.gateway.forward;

import io.figspan.core.chart.StateChart;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.work.PrefillReader;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.backend.HoldGroup;
import io.figspan.gateway.backend.MemoryHolds.HoldRequest;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.protocol.AttemptParameters;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.Placement;
import io.figspan.policy.placing.Placer.AttemptOutcome;
import io.figspan.settings.gateway.Route;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * One request of a caller from its receipt to its final response: waits for a placement, sends the request to a backend
 * server, forwards the response, and retries where that is allowed. All methods must be called on the event loop.
 */
public final class ForwardCall implements InFlightCall, Attempt.Listener {
    /** Failed attempts to reserve memory at several engines after which the request is refused. */
    private static final int MAX_FAILED_RESERVATIONS = 3;

    /** Unreachable servers after which the request is refused; none of them has received it. */
    private static final int MAX_UNREACHABLE_SERVERS = 3;

    /** Attempts on one server that failed because of its helpers, after which the request is refused. */
    private static final int MAX_HELPER_FAILURES = 6;

    /** Retry-After when no engines have the memory; requests with the longest prompts finish within a few seconds. */
    private static final long MEMORY_RETRY_AFTER_MS = 1_000;

    /** Status code that guarantees that the request has not run and will not run. */
    private static final int HTTP_SERVICE_UNAVAILABLE = 503;

    private static final StateChart<CallState, CallEvent> CHART =
            StateChart.load("/charts/forward-call.toml", CallState.class, CallEvent.class);

    private final Forwarder forwarder;
    private final ServiceDispatcher dispatcher;
    private final Route route;
    private final CallerRequest request;
    private final ByteBuf body;
    private final CallerExchange caller;
    private final Optional<OrganisationId> organisation;
    private final Job job;
    private final CallLog log;
    private CallState state = CHART.initial();
    private ScheduledFuture<?> deadlineTimer;
    private Attempt attempt;
    private int attempts;
    private int unreachableServers;
    private int helperFailures;
    private int failedReservations;
    private boolean mayHaveRun;
    private OptionalLong lastEventId;
    private long forwardedEvents;

    ForwardCall(
            Forwarder forwarder,
            ServiceDispatcher dispatcher,
            Route route,
            CallerRequest request,
            ByteBuf body,
            CallerExchange caller,
            Optional<OrganisationId> organisation,
            Job job) {
        this.forwarder = forwarder;
        this.dispatcher = dispatcher;
        this.route = route;
        this.request = request;
        this.body = body;
        this.caller = caller;
        this.organisation = organisation;
        this.job = job;
        this.log = new CallLog(forwarder, job, route);
        this.lastEventId = request.lastEventId();
    }

    void start(long nowNanos) {
        deadlineTimer = forwarder.loop().schedule(this::onDeadline, remainingNanos(nowNanos), TimeUnit.NANOSECONDS);
        dispatcher.submit(this, job, nowNanos);
    }

    private long remainingNanos(long nowNanos) {
        return Math.max(0, job.deadline().atNanos() - nowNanos);
    }

    private void transition(CallEvent event) {
        if (CHART.next(state, event) instanceof Result.Ok<CallState> next) {
            state = next.value();
        } else {
            log.unexpectedEvent(state, event);
        }
    }

    private boolean isDone() {
        return state == CallState.DONE;
    }

    private boolean hasBegunResponse() {
        return state == CallState.ANSWERING || state == CallState.RESUMING;
    }

    // Caller

    @Override
    public void onCallerDisconnected() {
        if (isDone()) {
            return;
        }
        log.callerLeft(attempts, forwardedEvents);
        finish();
        if (attempt == null) {
            return;
        }
        if (route.mayRepeat()) {
            cancelAttempt();
            return;
        }
        attempt.discard();
        deadlineTimer =
                forwarder.loop().schedule(this::cancelAttempt, remainingNanos(System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    @Override
    public void onCallerWritabilityChanged(boolean writable) {
        if (attempt != null) {
            attempt.setReading(writable);
        }
    }

    // Placement

    void onPlacement(Placement placement) {
        if (placement instanceof Placement.Refuse refuse) {
            endWithProblem(refuse.problem(), refuse.reason());
        } else if (placement instanceof Placement.Send send) {
            reserveOrSend(send);
        }
    }

    private void reserveOrSend(Placement.Send placement) {
        List<HoldRequest> requests = placement.readers().stream()
                .filter(reader -> reader.heldTokens() > 0)
                .map(reader -> new HoldRequest(reader.server(), reader.heldTokens()))
                .toList();
        if (requests.isEmpty()) {
            send(placement, HoldGroup.NONE);
            return;
        }
        transition(CallEvent.PLACED);
        log.reserving(placement, requests.size());
        forwarder.holds().reserve(requests, job.deadline(), group -> onReservationResult(placement, group));
    }

    private void onReservationResult(Placement.Send placement, HoldGroup group) {
        if (isDone()) {
            forwarder.holds().release(group);
            return;
        }
        if (group.isComplete()) {
            send(placement, group);
            return;
        }
        long nowNanos = System.nanoTime();
        forwarder.holds().release(group);
        log.reservationFailed(group.failure());
        failedReservations++;
        transition(CallEvent.FAILED);
        dispatcher.ended(job, AttemptOutcome.CANCELLED, nowNanos);
        if (failedReservations < MAX_FAILED_RESERVATIONS && !job.deadline().hasPassed(nowNanos)) {
            job.tried().remove(placement.server());
            dispatcher.submit(this, job, nowNanos);
            return;
        }
        Problem problem = Problem.notRun(ProblemKind.OVERLOADED, "no engines have the memory for the prompt");
        endWithProblem(problem.withRetryAfterMs(MEMORY_RETRY_AFTER_MS), group.failure());
    }

    /** Sends the request, unless its deadline has passed or the server no longer accepts new requests. */
    private void send(Placement.Send placement, HoldGroup group) {
        long nowNanos = System.nanoTime();
        Optional<BackendServer> server = forwarder.pools().find(placement.server());
        if (job.deadline().hasPassed(nowNanos)) {
            forwarder.holds().release(group);
            dispatcher.ended(job, AttemptOutcome.CANCELLED, nowNanos);
            endWithProblem(
                    Problem.notRun(ProblemKind.DEADLINE_UNREACHABLE, "no time is left"),
                    "the deadline passed before the request was sent");
            return;
        }
        if (server.isEmpty() || server.get().isLeaving()) {
            forwarder.holds().release(group);
            dispatcher.ended(job, AttemptOutcome.CANCELLED, nowNanos);
            dispatcher.submit(this, job, nowNanos);
            return;
        }
        attempts++;
        transition(CallEvent.SENT);
        log.sent(placement, attempts, nowNanos);
        HttpConnection connection = forwarder.pools().acquire(placement.server(), !route.mayRepeat(), nowNanos);
        attempt = new Attempt(
                this,
                forwarder.backendProtocol(),
                forwarder.pools(),
                placement.server(),
                connection,
                group,
                placement.readers().stream().map(PrefillReader::server).toList(),
                request.attemptId(),
                route.kind().isStreaming(),
                forwarder.responseBodyBudget());
        Attempt attemptWithHolds = attempt;
        forwarder.holds().monitorUse(group, server.get(), () -> onMemoryLost(attemptWithHolds));
        AttemptParameters send = new AttemptParameters(
                placement.server(),
                job.deadline().leftMs(nowNanos),
                organisation,
                placement.urgency(),
                readersOf(placement, group),
                lastEventId);
        connection.send(forwarder.backendProtocol().encode(request, body.retainedDuplicate(), send), attempt);
    }

    private List<AttemptParameters.Reader> readersOf(Placement.Send placement, HoldGroup group) {
        List<AttemptParameters.Reader> readers = new ArrayList<>();
        for (PrefillReader reader : placement.readers()) {
            forwarder
                    .pools()
                    .find(reader.server())
                    .ifPresent(server -> readers.add(
                            new AttemptParameters.Reader(server.address(), group.holdNameAt(reader.server()))));
        }
        return readers;
    }

    // Response

    @Override
    public void onEvent(Attempt from, ByteBuf event, OptionalLong id, long eventCount) {
        if (!hasBegunResponse()) {
            beginStream(from);
        }
        if (id.isPresent()) {
            lastEventId = id;
        }
        forwardedEvents++;
        if (id.isPresent()) {
            dispatcher.pieceArrived(job, eventCount, System.nanoTime());
        }
        caller.write(event);
        if (!caller.isWritable()) {
            from.setReading(false);
        }
    }

    private void beginStream(Attempt from) {
        transition(CallEvent.ANSWER_BEGAN);
        log.answerBegan(from.server());
        HttpResponse head = forwarder.callerProtocol().responseHead(from.head());
        head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        caller.beginResponse(head);
    }

    @Override
    public void onStreamEnd(Attempt from) {
        if (!hasBegunResponse()) {
            beginStream(from);
        }
        endWithResponse(from);
        caller.end();
        dispatcher.ended(job, AttemptOutcome.SERVED, System.nanoTime());
    }

    @Override
    public void onBufferedResponse(Attempt from, ByteBuf responseBody) {
        FullHttpResponse response = bufferedResponse(from, responseBody);
        if (!from.response().isSuccess()) {
            attemptFailed(from, AttemptEnd.FAILED, "status " + from.response().status(), Optional.of(response));
            return;
        }
        endWithResponse(from);
        caller.respond(response);
        dispatcher.ended(job, AttemptOutcome.SERVED, System.nanoTime());
    }

    /** Ends the request with the server's response. */
    private void endWithResponse(Attempt from) {
        attempt = null;
        forwarder.holds().release(from.holds());
        finish();
        log.answered(from.response().status(), from.server(), forwardedEvents);
    }

    private FullHttpResponse bufferedResponse(Attempt from, ByteBuf responseBody) {
        HttpResponse head = forwarder.callerProtocol().responseHead(from.head());
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), responseBody);
        response.headers().set(head.headers());
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, responseBody.readableBytes());
        return response;
    }

    @Override
    public void onDiscardedEnd(Attempt from) {
        attempt = null;
        deadlineTimer.cancel(false);
        dispatcher.ended(job, AttemptOutcome.SERVED, System.nanoTime());
    }

    @Override
    public void onFailed(Attempt from, AttemptEnd end, String reason) {
        attemptFailed(from, end, reason, Optional.empty());
    }

    // Failures and retries

    private void attemptFailed(
            Attempt failed, AttemptEnd end, String reason, Optional<FullHttpResponse> serverResponse) {
        long nowNanos = System.nanoTime();
        recordFailure(failed, end, reason);
        if (end == AttemptEnd.NOT_CONNECTED) {
            attempts--;
            unreachableServers++;
        }
        if (end == AttemptEnd.HELPER_FAILED) {
            attempts--;
            helperFailures++;
            faultyHelper(failed).ifPresent(helper -> dispatcher.helperFailed(helper, nowNanos));
            job.pinTo(failed.server());
        }
        if (!isDone() && mayRetry(end, nowNanos)) {
            serverResponse.ifPresent(FullHttpResponse::release);
            retry(end, nowNanos);
            return;
        }
        dispatcher.ended(job, end.attemptOutcome(), nowNanos);
        if (serverResponse.isPresent() && !isDone() && !hasBegunResponse()) {
            finish();
            log.answered(failed.response().status(), failed.server(), forwardedEvents);
            caller.respond(serverResponse.get());
            return;
        }
        serverResponse.ifPresent(FullHttpResponse::release);
        Problem problem = Problem.notRun(ProblemKind.NO_BACKEND_SERVER, reason);
        endWithProblem(problem.withRetryAfterMs(forwarder.defaultRetryAfterMs()), reason);
    }

    private void recordFailure(Attempt failed, AttemptEnd end, String reason) {
        attempt = null;
        mayHaveRun |= end.mayHaveRun();
        log.attemptFailed(failed.server(), end, reason, failed.sentNanos(), forwardedEvents);
        forwarder.holds().release(failed.holds());
    }

    private void retry(AttemptEnd end, long nowNanos) {
        transition(CallEvent.FAILED);
        dispatcher.ended(job, end.attemptOutcome(), nowNanos);
        dispatcher.submit(this, job, nowNanos);
    }

    /** The helper that the server's response names by its address, which may belong to another server by now. */
    private Optional<BackendServerId> faultyHelper(Attempt failed) {
        Optional<String> address = failed.response().faultyServer();
        return failed.readers().stream()
                .filter(reader -> address.isPresent() && hasAddress(reader, address.get()))
                .findFirst();
    }

    private boolean hasAddress(BackendServerId id, String address) {
        return forwarder
                .pools()
                .find(id)
                .filter(server -> server.hasAddress(address))
                .isPresent();
    }

    /** Handles a silent server: retries on another one if that is allowed, otherwise keeps waiting. */
    void onServerSilent() {
        long nowNanos = System.nanoTime();
        if (isDone() || attempt == null || !route.mayRepeat() || !mayRetry(AttemptEnd.SILENT, nowNanos)) {
            return;
        }
        Attempt silent = attempt;
        silent.cancel();
        recordFailure(silent, AttemptEnd.SILENT, "the server sent nothing for longer than expected");
        retry(AttemptEnd.SILENT, nowNanos);
    }

    /** Handles the loss of reserved memory: the engine that uses it is dead, or another engine no longer holds it. */
    private void onMemoryLost(Attempt attemptWithHolds) {
        if (attempt == attemptWithHolds) {
            attemptWithHolds.cancel();
            String reason = "the engine or the memory that it uses is gone";
            attemptFailed(attemptWithHolds, AttemptEnd.SILENT, reason, Optional.empty());
        }
    }

    private boolean mayRetry(AttemptEnd end, long nowNanos) {
        boolean repeatable = !end.mayHaveRun() || route.mayRepeat();
        boolean resumable = !hasBegunResponse() || route.isResumable();
        boolean hasTime = !job.deadline().hasPassed(nowNanos);
        if (!repeatable || !resumable || !hasTime || attempts >= route.maxAttempts()) {
            return false;
        }
        if (end == AttemptEnd.NOT_CONNECTED) {
            return unreachableServers < MAX_UNREACHABLE_SERVERS;
        }
        if (helperFailures >= MAX_HELPER_FAILURES) {
            return false;
        }
        return dispatcher.budget().tryRetry(nowNanos);
    }

    private void onDeadline() {
        if (isDone()) {
            return;
        }
        Problem problem = attempts == 0
                ? Problem.notRun(ProblemKind.DEADLINE_UNREACHABLE, "no backend server was free in time")
                : Problem.unknown(ProblemKind.DEADLINE_PASSED, "no answer in time");
        endWithProblem(problem, "the deadline has passed");
    }

    /**
     * Ends the request without a response of a server: aborts a response that has head, otherwise responds with the
     * problem. A problem that guarantees that nothing was run is replaced if the request may have run.
     */
    private void endWithProblem(Problem problem, String reason) {
        if (isDone()) {
            return;
        }
        boolean responseBegan = hasBegunResponse();
        finish();
        if (responseBegan) {
            log.brokenOff(reason, forwardedEvents);
            caller.abort();
        } else {
            boolean claimsNotRun = problem.kind().httpStatus() == HTTP_SERVICE_UNAVAILABLE;
            Problem reported = mayHaveRun && claimsNotRun
                    ? Problem.unknown(ProblemKind.BACKEND_FAILED, problem.detail())
                    : problem;
            log.refused(reported, reason, attempts);
            caller.respond(ProblemResponses.of(reported));
        }
        cancelAttempt();
    }

    private void cancelAttempt() {
        if (attempt == null) {
            return;
        }
        Attempt cancelled = attempt;
        attempt = null;
        cancelled.cancel();
        forwarder.holds().release(cancelled.holds());
        dispatcher.ended(job, AttemptOutcome.CANCELLED, System.nanoTime());
    }

    private void finish() {
        transition(CallEvent.ENDED);
        deadlineTimer.cancel(false);
        dispatcher.forget(job);
        body.release();
    }
}
