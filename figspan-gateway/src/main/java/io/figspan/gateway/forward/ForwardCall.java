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
import io.figspan.gateway.backend.MemoryHolds.HoldWanted;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.gateway.protocol.Send;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.Placement;
import io.figspan.policy.placing.Placer.EndOfWork;
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
 * One request of a caller from its receipt to its final answer: waits for a placement, sends the request, passes the
 * answer on, and sends again where that is allowed. All methods run on the event loop.
 */
public final class ForwardCall implements CallerCall, Attempt.Owner {
    /** Attempts to get memory at several engines before the request is refused. */
    private static final int MAX_RESERVATIONS = 3;

    /** Servers that could not be reached before the request is refused; none of them has seen it. */
    private static final int MAX_UNREACHABLE = 3;

    /** Sendings to one server that failed for its helpers before the request is refused. */
    private static final int MAX_HELPER_FAILURES = 6;

    /** Requests of the longest prompts are done within a few seconds. */
    private static final long MEMORY_RETRY_MS = 1_000;

    /** The status that promises that a request has not run and never will. */
    private static final int HTTP_UNAVAILABLE = 503;

    private static final StateChart<CallState, CallEvent> CHART =
            StateChart.load("/charts/forward-call.toml", CallState.class, CallEvent.class);

    private final Forwarder forwarder;
    private final ServiceLane lane;
    private final Route route;
    private final CallerRequest request;
    private final ByteBuf body;
    private final CallerExchange caller;
    private final Optional<OrganisationId> organisation;
    private final Job job;
    private final CallLog log;
    private CallState state = CHART.initial();
    private ScheduledFuture<?> timer;
    private Attempt attempt;
    private int attempts;
    private int unreachable;
    private int helperFailures;
    private int reservations;
    private boolean mayHaveRun;
    private OptionalLong lastEventId;
    private long events;

    ForwardCall(
            Forwarder forwarder,
            ServiceLane lane,
            Route route,
            CallerRequest request,
            ByteBuf body,
            CallerExchange caller,
            Optional<OrganisationId> organisation,
            Job job) {
        this.forwarder = forwarder;
        this.lane = lane;
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
        timer = forwarder.loop().schedule(this::timeIsOver, leftNanos(nowNanos), TimeUnit.NANOSECONDS);
        lane.submit(this, job, nowNanos);
    }

    private long leftNanos(long nowNanos) {
        return Math.max(0, job.deadline().atNanos() - nowNanos);
    }

    private void move(CallEvent event) {
        if (CHART.next(state, event) instanceof Result.Ok<CallState> next) {
            state = next.value();
        } else {
            log.unexpected(state, event);
        }
    }

    private boolean isDone() {
        return state == CallState.DONE;
    }

    private boolean hasBegunAnswer() {
        return state == CallState.ANSWERING || state == CallState.RESUMING;
    }

    // Caller

    @Override
    public void callerLeft() {
        if (isDone()) {
            return;
        }
        log.callerLeft(attempts, events);
        finish();
        if (attempt == null) {
            return;
        }
        if (route.mayRepeat()) {
            cancelAttempt();
            return;
        }
        attempt.discard();
        timer = forwarder.loop().schedule(this::cancelAttempt, leftNanos(System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    @Override
    public void callerWritable(boolean writable) {
        if (attempt != null) {
            attempt.setReading(writable);
        }
    }

    // Placement

    void onPlacement(Placement placement) {
        if (placement instanceof Placement.Refuse refuse) {
            giveUp(refuse.problem(), refuse.reason());
        } else if (placement instanceof Placement.Send send) {
            reserveOrSend(send);
        }
    }

    private void reserveOrSend(Placement.Send placement) {
        List<HoldWanted> wanted = placement.readers().stream()
                .filter(reader -> reader.heldTokens() > 0)
                .map(reader -> new HoldWanted(reader.server(), reader.heldTokens()))
                .toList();
        if (wanted.isEmpty()) {
            send(placement, HoldGroup.NONE);
            return;
        }
        move(CallEvent.PLACED);
        log.reserving(placement, wanted.size());
        forwarder.holds().reserve(wanted, job.deadline(), group -> onHolds(placement, group));
    }

    private void onHolds(Placement.Send placement, HoldGroup group) {
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
        reservations++;
        move(CallEvent.FAILED);
        lane.ended(job, EndOfWork.CANCELLED, nowNanos);
        if (reservations < MAX_RESERVATIONS && !job.deadline().hasPassed(nowNanos)) {
            job.tried().remove(placement.server());
            lane.submit(this, job, nowNanos);
            return;
        }
        Problem problem = Problem.notRun(ProblemKind.OVERLOADED, "no engines have the memory for the prompt");
        giveUp(problem.withRetryAfterMs(MEMORY_RETRY_MS), group.failure());
    }

    /** Sends the request, if the server still takes new work and time is left at this moment. */
    private void send(Placement.Send placement, HoldGroup group) {
        long nowNanos = System.nanoTime();
        Optional<BackendServer> server = forwarder.pools().find(placement.server());
        if (job.deadline().hasPassed(nowNanos)) {
            forwarder.holds().release(group);
            lane.ended(job, EndOfWork.CANCELLED, nowNanos);
            giveUp(Problem.notRun(ProblemKind.DEADLINE_UNREACHABLE, "no time is left"), "placed too late");
            return;
        }
        if (server.isEmpty() || server.get().isLeaving()) {
            forwarder.holds().release(group);
            lane.ended(job, EndOfWork.CANCELLED, nowNanos);
            lane.submit(this, job, nowNanos);
            return;
        }
        attempts++;
        move(CallEvent.SENT);
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
                forwarder.bodies());
        Attempt sending = attempt;
        forwarder.holds().use(group, server.get(), () -> onMemoryLost(sending));
        Send send = new Send(
                placement.server(),
                job.deadline().leftMs(nowNanos),
                organisation,
                placement.urgency(),
                readersOf(placement, group),
                lastEventId);
        connection.send(forwarder.backendProtocol().encode(request, body.retainedDuplicate(), send), attempt);
    }

    private List<Send.Reader> readersOf(Placement.Send placement, HoldGroup group) {
        List<Send.Reader> readers = new ArrayList<>();
        for (PrefillReader reader : placement.readers()) {
            forwarder
                    .pools()
                    .find(reader.server())
                    .ifPresent(server -> readers.add(new Send.Reader(server.address(), group.nameAt(reader.server()))));
        }
        return readers;
    }

    // Answer

    @Override
    public void onEvent(Attempt from, ByteBuf event, OptionalLong id, long pieces) {
        if (!hasBegunAnswer()) {
            beginStream(from);
        }
        if (id.isPresent()) {
            lastEventId = id;
        }
        events++;
        if (id.isPresent()) {
            lane.pieceArrived(job, pieces, System.nanoTime());
        }
        caller.write(event);
        if (!caller.isWritable()) {
            from.setReading(false);
        }
    }

    private void beginStream(Attempt from) {
        move(CallEvent.ANSWER_BEGAN);
        log.answerBegan(from.server());
        HttpResponse begun = forwarder.callerProtocol().answerHead(from.head());
        begun.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        begun.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        caller.begin(begun);
    }

    @Override
    public void onStreamEnd(Attempt from) {
        if (!hasBegunAnswer()) {
            beginStream(from);
        }
        settle(from);
        caller.end();
        lane.ended(job, EndOfWork.SERVED, System.nanoTime());
    }

    @Override
    public void onWholeAnswer(Attempt from, ByteBuf answerBody) {
        FullHttpResponse response = wholeAnswer(from, answerBody);
        if (!from.answer().isSuccess()) {
            attemptFailed(from, AttemptEnd.FAILED, "status " + from.answer().status(), Optional.of(response));
            return;
        }
        settle(from);
        caller.answer(response);
        lane.ended(job, EndOfWork.SERVED, System.nanoTime());
    }

    /** The server's answer is the final one. */
    private void settle(Attempt from) {
        attempt = null;
        forwarder.holds().release(from.holds());
        finish();
        log.answered(from.answer().status(), from.server(), events);
    }

    private FullHttpResponse wholeAnswer(Attempt from, ByteBuf answerBody) {
        HttpResponse begun = forwarder.callerProtocol().answerHead(from.head());
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, begun.status(), answerBody);
        response.headers().set(begun.headers());
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answerBody.readableBytes());
        return response;
    }

    @Override
    public void onDiscardedEnd(Attempt from) {
        attempt = null;
        timer.cancel(false);
        lane.ended(job, EndOfWork.SERVED, System.nanoTime());
    }

    @Override
    public void onFailed(Attempt from, AttemptEnd end, String reason) {
        attemptFailed(from, end, reason, Optional.empty());
    }

    // Ends

    private void attemptFailed(
            Attempt failed, AttemptEnd end, String reason, Optional<FullHttpResponse> serversAnswer) {
        long nowNanos = System.nanoTime();
        ended(failed, end, reason);
        if (end == AttemptEnd.NOT_CONNECTED) {
            attempts--;
            unreachable++;
        }
        if (end == AttemptEnd.HELPER_FAILED) {
            attempts--;
            helperFailures++;
            faultyHelper(failed).ifPresent(helper -> lane.helperFailed(helper, nowNanos));
            job.keepTo(failed.server());
        }
        if (!isDone() && maySendAgain(end, nowNanos)) {
            serversAnswer.ifPresent(FullHttpResponse::release);
            sendAgain(end, nowNanos);
            return;
        }
        lane.ended(job, end.endOfWork(), nowNanos);
        if (serversAnswer.isPresent() && !isDone() && !hasBegunAnswer()) {
            finish();
            log.answered(failed.answer().status(), failed.server(), events);
            caller.answer(serversAnswer.get());
            return;
        }
        serversAnswer.ifPresent(FullHttpResponse::release);
        Problem problem = Problem.notRun(ProblemKind.NO_BACKEND_SERVER, reason);
        giveUp(problem.withRetryAfterMs(forwarder.retryAfterMs()), reason);
    }

    private void ended(Attempt failed, AttemptEnd end, String reason) {
        attempt = null;
        mayHaveRun |= end.mayHaveRun();
        log.attemptFailed(failed.server(), end, reason, failed.sentNanos(), events);
        forwarder.holds().release(failed.holds());
    }

    private void sendAgain(AttemptEnd end, long nowNanos) {
        move(CallEvent.FAILED);
        lane.ended(job, end.endOfWork(), nowNanos);
        lane.submit(this, job, nowNanos);
    }

    /** The helper that the server's answer names. Its address may also be that of another server by now. */
    private Optional<BackendServerId> faultyHelper(Attempt failed) {
        Optional<String> address = failed.answer().faultyServer();
        return failed.readers().stream()
                .filter(reader -> address.isPresent() && isAt(reader, address.get()))
                .findFirst();
    }

    private boolean isAt(BackendServerId id, String address) {
        return forwarder.pools().find(id).filter(server -> server.isAt(address)).isPresent();
    }

    /** The present server is silent: sends the request elsewhere where that is allowed, else waits on. */
    void onServerSilent() {
        long nowNanos = System.nanoTime();
        if (isDone() || attempt == null || !route.mayRepeat() || !maySendAgain(AttemptEnd.SILENT, nowNanos)) {
            return;
        }
        Attempt silent = attempt;
        silent.cancel();
        ended(silent, AttemptEnd.SILENT, "silent for longer than expected");
        sendAgain(AttemptEnd.SILENT, nowNanos);
    }

    /** The engine that uses memory of others is dead, or one of these no longer holds it. */
    private void onMemoryLost(Attempt sending) {
        if (attempt == sending) {
            sending.cancel();
            String reason = "the engine or the memory that it uses is gone";
            attemptFailed(sending, AttemptEnd.SILENT, reason, Optional.empty());
        }
    }

    private boolean maySendAgain(AttemptEnd end, long nowNanos) {
        boolean repeatable = !end.mayHaveRun() || route.mayRepeat();
        boolean resumable = !hasBegunAnswer() || route.isResumable();
        boolean hasTime = !job.deadline().hasPassed(nowNanos);
        if (!repeatable || !resumable || !hasTime || attempts >= route.maxAttempts()) {
            return false;
        }
        if (end == AttemptEnd.NOT_CONNECTED) {
            return unreachable < MAX_UNREACHABLE;
        }
        if (helperFailures >= MAX_HELPER_FAILURES) {
            return false;
        }
        return lane.budget().tryRetry(nowNanos);
    }

    private void timeIsOver() {
        if (isDone()) {
            return;
        }
        Problem problem = attempts == 0
                ? Problem.notRun(ProblemKind.DEADLINE_UNREACHABLE, "no backend server was free in time")
                : Problem.unknown(ProblemKind.DEADLINE_PASSED, "no answer in time");
        giveUp(problem, "time is over");
    }

    /** Ends the request without an answer of a server: with the problem, told truthfully, or by breaking it off. */
    private void giveUp(Problem problem, String reason) {
        if (isDone()) {
            return;
        }
        boolean answerBegan = hasBegunAnswer();
        finish();
        if (answerBegan) {
            log.brokenOff(reason, events);
            caller.abort();
        } else {
            boolean claimsNotRun = problem.kind().httpStatus() == HTTP_UNAVAILABLE;
            Problem truthful = mayHaveRun && claimsNotRun
                    ? Problem.unknown(ProblemKind.BACKEND_FAILED, problem.detail())
                    : problem;
            log.refused(truthful, reason, attempts);
            caller.answer(ProblemResponses.of(truthful));
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
        lane.ended(job, EndOfWork.CANCELLED, System.nanoTime());
    }

    private void finish() {
        move(CallEvent.ENDED);
        timer.cancel(false);
        lane.forget(job);
        body.release();
    }
}
