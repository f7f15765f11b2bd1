package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.PromptPartId;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.backend.HoldGroup;
import io.figspan.gateway.backend.MemoryHolds.HoldRequest;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.Placement;
import io.figspan.policy.placing.Placer.AttemptOutcome;
import io.figspan.settings.gateway.Route;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One request of a caller from its receipt to its final response: waits for a placement, sends the request to a backend
 * server, forwards the response, and retries where that is allowed. All methods must be called on the event loop.
 */
public final class ForwardCall implements InFlightCall, Attempt.Listener {
    /** Retry-After when no engines have the memory; requests with the longest prompts finish within a few seconds. */
    private static final long MEMORY_RETRY_AFTER_MS = 1_000;

    private final Forwarder forwarder;
    private final ServiceDispatcher dispatcher;
    private final Route route;
    private final ByteBuf body;
    private final Job job;
    private final CallLog log;
    private final CallResponse response;
    private final AttemptHistory history;
    private final AttemptStarter starter;
    private final CallStateMachine state;
    private final DeadlineTimer deadlineTimer;
    private final CrashObserver crashObserver;
    private Attempt attempt;

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
        this.body = body;
        this.job = job;
        this.log = new CallLog(forwarder, job, route, request.sharedParts());
        this.response = new CallResponse(forwarder.callerProtocol(), caller, request.lastEventId());
        this.history = new AttemptHistory(route, job.deadline(), dispatcher::budget);
        this.starter = new AttemptStarter(forwarder, route, request, body, organisation, job);
        this.crashObserver = new CrashObserver(forwarder.promptCrashes(), request);
        this.state = new CallStateMachine(log);
        this.deadlineTimer = new DeadlineTimer(forwarder.loop(), job.deadline());
    }

    void start(long nowNanos) {
        deadlineTimer.start(this::onDeadline, nowNanos);
        Optional<Problem> refusal = crashObserver.refusal(nowNanos);
        if (refusal.isPresent()) {
            endWithProblem(refusal.get(), refusal.get().detail());
            return;
        }
        dispatcher.submit(this, job, nowNanos);
    }

    // Caller

    @Override
    public void onCallerDisconnected() {
        if (state.isDone()) {
            return;
        }
        log.callerLeft(history.attempts(), response.forwardedEvents());
        finish();
        if (attempt == null) {
            return;
        }
        if (route.mayRepeat()) {
            cancelAttempt();
            return;
        }
        attempt.discard();
        deadlineTimer.start(this::cancelAttempt, System.nanoTime());
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
        state.transition(CallEvent.PLACED);
        log.reserving(placement, requests.size());
        forwarder.holds().reserve(requests, job.deadline(), group -> onReservationResult(placement, group));
    }

    private void onReservationResult(Placement.Send placement, HoldGroup group) {
        if (state.isDone()) {
            giveUpPlacement(group, System.nanoTime());
        } else if (group.isComplete()) {
            send(placement, group);
        } else {
            reservationFailed(placement, group);
        }
    }

    private void reservationFailed(Placement.Send placement, HoldGroup group) {
        long nowNanos = System.nanoTime();
        forwarder.holds().release(group);
        log.reservationFailed(group.failure());
        history.recordFailedReservation();
        state.transition(CallEvent.FAILED);
        dispatcher.ended(job, AttemptOutcome.CANCELLED, nowNanos);
        if (history.mayReserveAgain(nowNanos)) {
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
        if (job.deadline().hasPassed(nowNanos)) {
            giveUpPlacement(group, nowNanos);
            endWithProblem(
                    Problem.notRun(ProblemKind.DEADLINE_UNREACHABLE, "no time is left"),
                    "the deadline passed before the request was sent");
            return;
        }
        Optional<Problem> refusal = crashObserver.refusalOfSend(nowNanos);
        if (refusal.isPresent()) {
            giveUpPlacement(group, nowNanos);
            endWithProblem(refusal.get(), refusal.get().detail());
            return;
        }
        if (!allAcceptRequests(placement)) {
            if (group != HoldGroup.NONE) {
                state.transition(CallEvent.FAILED);
            }
            giveUpPlacement(group, nowNanos);
            dispatcher.submit(this, job, nowNanos);
            return;
        }
        BackendServer server = forwarder.pools().find(placement.server()).orElseThrow();
        startAttempt(placement, group, server, nowNanos);
    }

    /** Whether neither the server nor one of its helpers has left or begun to drain since the placement. */
    private boolean allAcceptRequests(Placement.Send placement) {
        BackendPools pools = forwarder.pools();
        return pools.acceptsRequests(placement.server())
                && placement.readers().stream().allMatch(reader -> pools.acceptsRequests(reader.server()));
    }

    private void giveUpPlacement(HoldGroup group, long nowNanos) {
        forwarder.holds().release(group);
        dispatcher.ended(job, AttemptOutcome.CANCELLED, nowNanos);
    }

    private void startAttempt(Placement.Send placement, HoldGroup group, BackendServer server, long nowNanos) {
        history.recordSent();
        state.transition(CallEvent.SENT);
        log.sent(placement, history.attempts(), nowNanos);
        Attempt opened = starter.open(server, placement, group, this, nowNanos);
        attempt = opened;
        forwarder.holds().monitorUse(group, server, () -> onMemoryLost(opened));
        starter.send(opened, placement, response.lastEventId(), nowNanos);
    }

    // Response

    @Override
    public void onHead(Attempt from) {
        forwarder.requestLimits().answered(from.incarnation(), from.response());
        forwarder.pools().responded(from.incarnation(), from.response(), System.nanoTime());
    }

    @Override
    public void onEvent(Attempt from, ByteBuf event, OptionalLong id, long eventCount) {
        crashObserver.eventArrived(from, eventCount, System.nanoTime());
        if (!state.hasBegunResponse()) {
            beginStream(from);
        }
        if (id.isPresent()) {
            dispatcher.pieceArrived(job, eventCount, System.nanoTime());
        }
        response.forward(event, id);
        if (!response.isWritable()) {
            from.setReading(false);
        }
    }

    private void beginStream(Attempt from) {
        state.transition(CallEvent.ANSWER_BEGAN);
        log.answerBegan(from.server());
        response.beginStream(from.head());
    }

    @Override
    public void onStreamEnd(Attempt from) {
        if (!state.hasBegunResponse()) {
            beginStream(from);
        }
        endWithResponse(from);
        response.endStream();
        dispatcher.ended(job, AttemptOutcome.SERVED, System.nanoTime());
    }

    @Override
    public void onBufferedResponse(Attempt from, ByteBuf responseBody) {
        FullHttpResponse converted = response.convert(from.head(), responseBody);
        if (!from.response().isSuccess()) {
            attemptFailed(from, AttemptEnd.FAILED, "status " + from.response().status(), Optional.of(converted));
            return;
        }
        endWithResponse(from);
        response.respond(converted);
        dispatcher.ended(job, AttemptOutcome.SERVED, System.nanoTime());
    }

    /** Ends the request with the server's response. */
    private void endWithResponse(Attempt from) {
        crashObserver.responseCompleted(from, System.nanoTime());
        attempt = null;
        forwarder.holds().release(from.holds());
        finish();
        logAnswered(from);
    }

    private void logAnswered(Attempt from) {
        log.answered(from.response().status(), from.server(), response.forwardedEvents());
    }

    @Override
    public void onDiscardedEnd(Attempt from) {
        attempt = null;
        deadlineTimer.cancel();
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
        crashObserver.attemptFailed(failed, nowNanos);
        if (end == AttemptEnd.HELPER_FAILED) {
            failed.faultyHelper().ifPresent(helper -> dispatcher.helperFailed(helper, nowNanos));
            job.pinTo(failed.server());
        }
        if (!state.isDone() && history.tryRetry(end, state.hasBegunResponse(), nowNanos)) {
            serverResponse.ifPresent(FullHttpResponse::release);
            retry(end, nowNanos);
            return;
        }
        dispatcher.ended(job, end.attemptOutcome(), nowNanos);
        endWithFailure(failed, reason, serverResponse);
    }

    private void recordFailure(Attempt failed, AttemptEnd end, String reason) {
        attempt = null;
        history.recordFailure(end);
        log.attemptFailed(failed.server(), end, reason, failed.sentNanos(), response.forwardedEvents());
        forwarder.holds().release(failed.holds());
    }

    /** Ends the request with the server's error response, or with a problem if there is none to forward. */
    private void endWithFailure(Attempt failed, String reason, Optional<FullHttpResponse> serverResponse) {
        if (serverResponse.isPresent() && !state.isDone() && !state.hasBegunResponse()) {
            finish();
            logAnswered(failed);
            response.respond(serverResponse.get());
            return;
        }
        serverResponse.ifPresent(FullHttpResponse::release);
        Problem problem = Problem.notRun(ProblemKind.NO_BACKEND_SERVER, reason);
        endWithProblem(problem.withRetryAfterMs(forwarder.defaultRetryAfterMs()), reason);
    }

    private void retry(AttemptEnd end, long nowNanos) {
        state.transition(CallEvent.FAILED);
        dispatcher.ended(job, end.attemptOutcome(), nowNanos);
        dispatcher.submit(this, job, nowNanos);
    }

    /** Handles a silent server: retries on another one if that is allowed, otherwise keeps waiting. */
    void onServerSilent() {
        long nowNanos = System.nanoTime();
        if (state.isDone() || attempt == null || !route.mayRepeat()) {
            return;
        }
        if (!history.tryRetry(AttemptEnd.SILENT, state.hasBegunResponse(), nowNanos)) {
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

    /** Ends the request if it has a part that was quarantined, so that it doesn't crash the engine that has it now. */
    void onQuarantined(PromptPartId part) {
        if (state.isDone() || state.hasBegunResponse() || !crashObserver.hasPart(part)) {
            return;
        }
        String detail = CrashObserver.detail(part);
        Problem problem = attempt == null
                ? Problem.notRun(ProblemKind.PROMPT_QUARANTINED, detail)
                : Problem.unknown(ProblemKind.BACKEND_FAILED, detail);
        endWithProblem(problem, detail);
    }

    private void onDeadline() {
        if (state.isDone()) {
            return;
        }
        Problem problem = history.attempts() == 0
                ? Problem.notRun(ProblemKind.DEADLINE_UNREACHABLE, "no backend server was free in time")
                : Problem.unknown(ProblemKind.DEADLINE_PASSED, "no answer in time");
        endWithProblem(problem, "the deadline has passed");
    }

    /**
     * Ends the request without a response of a server: aborts a response that has begun, otherwise responds with the
     * problem, or with another one if the request may have run and the problem claims that it did not.
     */
    private void endWithProblem(Problem problem, String reason) {
        if (state.isDone()) {
            return;
        }
        boolean responseBegan = state.hasBegunResponse();
        finish();
        if (responseBegan) {
            log.brokenOff(reason, response.forwardedEvents());
            response.abort();
        } else {
            Problem reported = history.withTrueRunState(problem);
            log.refused(reported, reason, history.attempts());
            response.respond(reported);
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
        state.transition(CallEvent.ENDED);
        deadlineTimer.cancel();
        dispatcher.forget(job);
        body.release();
    }
}
