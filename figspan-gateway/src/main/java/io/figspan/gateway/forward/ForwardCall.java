package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.OrganisationId;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.backend.HoldGroup;
import io.figspan.gateway.http.EventBatch;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.policy.drain.RequestProfile;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.Placement;
import io.figspan.policy.placing.Placer.AttemptOutcome;
import io.figspan.settings.gateway.Route;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.Optional;

/**
 * One request of a caller from its receipt to its final response: waits for a placement, sends the request to a backend
 * server, forwards the response, and retries where that is allowed. All methods must be called on the event loop.
 */
public final class ForwardCall implements InFlightCall, Attempt.Listener, PlacementHandler.Listener {
    private final Forwarder forwarder;
    private final ServiceDispatcher dispatcher;
    private final Route route;
    private final ReceivedRequest request;
    private final Job job;
    private final CallDuration duration;
    private final CallLog log;
    private final CallResponse response;
    private final AttemptHistory history;
    private final AttemptStarter starter;
    private final CallStateMachine state;
    private final DeadlineTimer deadlineTimer;
    private final CrashObserver crashObserver;
    private final PlacementHandler placements;
    private final OpenAttempts attempts;

    ForwardCall(
            Forwarder forwarder,
            ServiceDispatcher dispatcher,
            Route route,
            ReceivedRequest request,
            CallerExchange caller,
            Optional<OrganisationId> organisation,
            Job job,
            RequestProfile profile) {
        this.forwarder = forwarder;
        this.dispatcher = dispatcher;
        this.route = route;
        this.request = request;
        this.job = job;
        this.duration = new CallDuration(forwarder.drain(), profile, job.arrivedNanos());
        this.log = new CallLog(forwarder, job, route, request.head().sharedParts());
        this.response = new CallResponse(
                forwarder.callerProtocol(), caller, request.head().lastEventId());
        this.history = new AttemptHistory(route, job.deadline(), dispatcher::budget);
        this.starter = new AttemptStarter(forwarder, route, request, organisation, job);
        this.crashObserver = new CrashObserver(forwarder.requestCrashes(), forwarder.pools(), request, organisation);
        this.state = new CallStateMachine(log);
        this.deadlineTimer = new DeadlineTimer(forwarder.loop(), job.deadline());
        this.placements = new PlacementHandler(forwarder, dispatcher, job, log, history, crashObserver, state, this);
        this.attempts = new OpenAttempts(forwarder.holds(), placements, state, log, this::releaseIfUnused);
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
        observeDuration(System.nanoTime());
        finish();
        if (attempts.isEmpty()) {
            return;
        }
        if (route.mayRepeat() || !attempts.isWritten()) {
            cancelAttempts();
            return;
        }
        attempts.current().ifPresent(Attempt::discard);
        deadlineTimer.start(this::cancelAttempts, System.nanoTime());
    }

    @Override
    public void onCallerWritabilityChanged(boolean writable) {
        attempts.setReading(writable);
    }

    // Placement

    void onPlacement(Placement placement) {
        placements.handle(placement);
    }

    @Override
    public void onPlacementNeeded(long nowNanos) {
        dispatcher.submit(this, job, nowNanos);
    }

    @Override
    public void onReservationGivenUp() {
        releaseIfUnused();
    }

    @Override
    public void onPlacementRefused(Problem problem, String reason) {
        if (attempts.hasSilent()) {
            attempts.fallBack(reason);
        } else {
            endWithProblem(problem, reason);
        }
    }

    /** A response that has begun can't be refused any more, so it goes on for as long as there is any time. */
    @Override
    public boolean endsBeforeStop(long nowNanos) {
        return state.hasBegunResponse()
                ? forwarder.drain().fits(nowNanos)
                : forwarder.drain().fits(duration.profile(), job, nowNanos);
    }

    @Override
    public void onOutOfTime() {
        if (attempts.hasSilent()) {
            attempts.fallBack("this host stops before a second server could answer");
        } else {
            endForShutdown();
        }
    }

    @Override
    public void onSendAllowed(Placement.Send placement, HoldGroup holds, BackendServer server, long nowNanos) {
        history.recordSent();
        state.transition(CallEvent.SENT);
        log.sent(placement, history.attempts(), nowNanos);
        forwarder.drain().logSent(job.requestId(), duration.profile(), nowNanos);
        Attempt opened = starter.open(server, placement, holds, this, nowNanos);
        attempts.setCurrent(opened);
        forwarder.holds().monitorUse(holds, server, () -> onMemoryLost(opened));
        starter.send(opened, placement, response.lastEventId(), nowNanos);
    }

    // Response

    @Override
    public boolean mayWrite(Attempt attempt) {
        return endsBeforeStop(System.nanoTime())
                && forwarder.requestLimits().coldServers().mayWrite(attempt.server(), attempt.sentNanos());
    }

    @Override
    public void onValidHead(Attempt from) {
        forwarder.requestLimits().answered(from.incarnation(), from.response());
        forwarder.pools().responded(from.incarnation(), from.response(), System.nanoTime());
    }

    @Override
    public void onEvents(Attempt from, EventBatch events) {
        long nowNanos = System.nanoTime();
        crashObserver.eventsArrived(from, events.progressEvents(), nowNanos);
        if (events.hasProgress()) {
            attempts.delivered(from);
        } else if (attempts.hasSilent()) {
            // A comment is no progress of the stream, so it does not decide between the servers.
            events.release();
            return;
        }
        if (!state.hasBegunResponse()) {
            beginStream(from);
        }
        if (events.hasProgress()) {
            dispatcher.piecesArrived(job, events.progressEvents(), from.eventCount(), nowNanos);
        }
        duration.eventsArrived(events.progressEvents(), nowNanos);
        response.forward(events);
        if (!response.isWritable()) {
            duration.slowedByCaller();
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
        attempts.delivered(from);
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
        attempts.delivered(from);
        endWithResponse(from);
        response.respond(converted);
        dispatcher.ended(job, AttemptOutcome.SERVED, System.nanoTime());
    }

    /** Ends the request with the server's response. */
    private void endWithResponse(Attempt from) {
        crashObserver.responseCompleted(from, System.nanoTime());
        duration.answered(System.nanoTime());
        attempts.remove(from);
        finish();
        logAnswered(from);
    }

    /** Records how long the request has lasted without its complete answer. */
    void observeDuration(long nowNanos) {
        duration.unfinished(nowNanos);
    }

    private void logAnswered(Attempt from) {
        log.answered(from.response().status(), from.server(), response.forwardedEvents());
    }

    @Override
    public void onDiscardedEnd(Attempt from) {
        crashObserver.discardedEnded(from, System.nanoTime());
        attempts.remove(from);
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
        boolean wasSilent = attempts.isSilent(failed);
        recordFailure(failed, end, reason, nowNanos);
        if (wasSilent) {
            serverResponse.ifPresent(FullHttpResponse::release);
            return;
        }
        if (end == AttemptEnd.HELPER_FAILED) {
            job.pinTo(failed.server());
        }
        if (!state.isDone() && history.tryRetry(end, state.hasBegunResponse(), nowNanos)) {
            serverResponse.ifPresent(FullHttpResponse::release);
            retry(end.attemptOutcome(), nowNanos);
            return;
        }
        dispatcher.ended(job, end.attemptOutcome(), nowNanos);
        if (attempts.hasSilent()) {
            serverResponse.ifPresent(FullHttpResponse::release);
            state.transition(CallEvent.FAILED);
            attempts.fallBack(reason);
            return;
        }
        endWithFailure(failed, reason, serverResponse);
    }

    private void recordFailure(Attempt failed, AttemptEnd end, String reason, long nowNanos) {
        attempts.remove(failed);
        history.recordFailure(end);
        log.attemptFailed(failed, end, reason, response);
        crashObserver.attemptFailed(failed, end, nowNanos);
        if (end == AttemptEnd.WITHDRAWN && failed.isEvacuated()) {
            forwarder.metrics().count(GatewayMetrics.PLACED_AGAIN);
        }
        if (end == AttemptEnd.HELPER_FAILED) {
            failed.faultyHelper().ifPresent(helper -> dispatcher.helperFailed(helper, nowNanos));
        }
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

    private void retry(AttemptOutcome outcome, long nowNanos) {
        state.transition(CallEvent.FAILED);
        dispatcher.ended(job, outcome, nowNanos);
        dispatcher.submit(this, job, nowNanos);
    }

    /** Handles a silent server: sends the request to a second one too if that is allowed. */
    void onServerSilent() {
        long nowNanos = System.nanoTime();
        boolean isReadingPaused = !response.isWritable();
        if (state.isDone() || attempts.current().isEmpty() || !route.mayRepeat() || isReadingPaused) {
            return;
        }
        if (!history.tryRetry(AttemptEnd.SILENT, state.hasBegunResponse(), nowNanos)) {
            return;
        }
        attempts.keepSilent(response.forwardedEvents());
        history.recordFailure(AttemptEnd.SILENT);
        retry(AttemptOutcome.SILENT, nowNanos);
    }

    /** Handles the loss of reserved memory: the engine that uses it is dead, or another engine no longer holds it. */
    private void onMemoryLost(Attempt attemptWithHolds) {
        if (attempts.contains(attemptWithHolds)) {
            attemptWithHolds.cancel();
            String reason = "the engine or the memory that it uses is gone";
            attemptFailed(attemptWithHolds, AttemptEnd.SILENT, reason, Optional.empty());
        }
    }

    /** Ends the request if it was quarantined, or parts of it, so that it doesn't crash the server that has it now. */
    void onQuarantined() {
        if (state.isDone() || state.hasBegunResponse()) {
            return;
        }
        crashObserver.refusal(System.nanoTime()).ifPresent(refusal -> {
            Problem problem = isSent() ? Problem.unknown(ProblemKind.BACKEND_FAILED, refusal.detail()) : refusal;
            endWithProblem(problem, refusal.detail());
        });
    }

    /**
     * Ends the request if no backend server has it and it can't end before this host stops.
     *
     * @return whether it was ended
     */
    boolean endIfOutOfTime(long nowNanos) {
        if (state.isDone() || isSent() || endsBeforeStop(nowNanos)) {
            return false;
        }
        endForShutdown();
        return true;
    }

    /** Ends the request because this host stops. */
    void endForShutdown() {
        if (state.isDone()) {
            return;
        }
        DrainControl drain = forwarder.drain();
        long nowNanos = System.nanoTime();
        Problem problem = attempts.isWritten() || state.hasBegunResponse() || history.mayHaveRun()
                ? drain.interrupt(job, duration.profile(), route.mayRepeat(), nowNanos)
                : drain.refuse(job.requestId(), duration.profile(), nowNanos);
        endWithProblem(problem, problem.detail());
    }

    /** Whether a backend server has the request. */
    private boolean isSent() {
        return !attempts.isEmpty();
    }

    private void onDeadline() {
        if (state.isDone()) {
            return;
        }
        endWithProblem(history.deadlineProblem(), "the deadline has passed");
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
        observeDuration(System.nanoTime());
        finish();
        if (responseBegan) {
            log.brokenOff(reason, response);
            response.abort();
        } else {
            Problem reported = history.withTrueRunState(problem);
            log.refused(reported, reason, history.attempts());
            response.respond(reported);
        }
        cancelAttempts();
    }

    private void cancelAttempts() {
        boolean isPlaced = attempts.current().isPresent();
        attempts.cancelAll();
        if (isPlaced) {
            dispatcher.ended(job, AttemptOutcome.CANCELLED, System.nanoTime());
        }
    }

    private void finish() {
        state.transition(CallEvent.ENDED);
        deadlineTimer.cancel();
        request.releaseBody();
        dispatcher.forget(job);
        releaseIfUnused();
    }

    /** A request that has ended holds memory for as long as a server works on it or memory is reserved for it. */
    private void releaseIfUnused() {
        if (state.isDone() && attempts.isEmpty() && !placements.isReserving()) {
            request.release();
        }
    }
}
