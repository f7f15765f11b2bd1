package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.work.PlacedReader;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.backend.HoldGroup;
import io.figspan.gateway.backend.MemoryHolds.HoldWanted;
import io.figspan.gateway.http.ConnectionFailure;
import io.figspan.gateway.http.EventSplitter;
import io.figspan.gateway.http.ExchangeListener;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.protocol.BackendAnswer;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.gateway.protocol.Send;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.Placement;
import io.figspan.policy.placing.Placer.EndOfWork;
import io.figspan.policy.placing.PromptShape;
import io.figspan.settings.gateway.Route;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
public final class ForwardCall implements CallerCall {
    /** Attempts to get memory at several engines before the request is refused. */
    private static final int MAX_RESERVATIONS = 3;

    /** Requests of the longest prompts are done within a few seconds. */
    private static final long MEMORY_RETRY_MS = 1_000;

    private final Forwarder forwarder;
    private final ServiceLane lane;
    private final Route route;
    private final CallerRequest request;
    private final ByteBuf body;
    private final CallerExchange caller;
    private final Optional<OrganisationId> organisation;
    private final Job job;
    private ScheduledFuture<?> timer;
    private Attempt attempt;
    private int attempts;
    private int reservations;
    private boolean mayHaveRun;
    private boolean answerBegun;
    private boolean finished;
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
        this.lastEventId = request.lastEventId();
    }

    void start(long nowNanos) {
        long leftNanos = Math.max(0, job.deadline().atNanos() - nowNanos);
        timer = forwarder.loop().schedule(this::timeIsOver, leftNanos, TimeUnit.NANOSECONDS);
        lane.submit(this, job, nowNanos);
    }

    @Override
    public void callerLeft() {
        if (finished) {
            return;
        }
        log("callerLeft").write();
        finish();
        if (attempt == null) {
            return;
        }
        if (route.mayRepeat()) {
            attempt.cancel();
        } else {
            attempt.discard();
        }
    }

    @Override
    public void callerWritable(boolean writable) {
        if (attempt != null) {
            attempt.connection.setReading(writable);
        }
    }

    // Placement

    void onPlacement(Placement placement) {
        if (placement instanceof Placement.Refuse refuse) {
            refuse(refuse.problem(), refuse.reason());
        } else if (placement instanceof Placement.Send send) {
            send(send);
        }
    }

    private void send(Placement.Send placement) {
        List<HoldWanted> wanted = placement.readers().stream()
                .filter(reader -> reader.heldTokens() > 0)
                .map(reader -> new HoldWanted(reader.server(), reader.heldTokens()))
                .toList();
        if (wanted.isEmpty()) {
            send(placement, HoldGroup.NONE);
            return;
        }
        log("reserving")
                .number("engines", wanted.size())
                .text("why", placement.reason())
                .write();
        forwarder.holds().reserve(wanted, job.deadline(), group -> onHolds(placement, group));
    }

    private void onHolds(Placement.Send placement, HoldGroup group) {
        if (finished) {
            forwarder.holds().release(group);
            return;
        }
        if (group.isComplete()) {
            send(placement, group);
            return;
        }
        forwarder.holds().release(group);
        long nowNanos = System.nanoTime();
        log("reservationFailed").text("reason", group.failure()).write();
        lane.ended(job, EndOfWork.CANCELLED, nowNanos);
        reservations++;
        if (reservations < MAX_RESERVATIONS && !job.deadline().hasPassed(nowNanos)) {
            job.tried().remove(placement.server());
            lane.submit(this, job, nowNanos);
        } else {
            refuse(
                    Problem.notRun(ProblemKind.OVERLOADED, "no memory for the prompt")
                            .withRetryAfterMs(MEMORY_RETRY_MS),
                    group.failure());
        }
    }

    private void send(Placement.Send placement, HoldGroup group) {
        long nowNanos = System.nanoTime();
        Optional<BackendServer> server = forwarder.pools().find(placement.server());
        if (server.isEmpty() || job.deadline().hasPassed(nowNanos)) {
            forwarder.holds().release(group);
            lane.ended(job, EndOfWork.CANCELLED, nowNanos);
            refuse(Problem.notRun(ProblemKind.DEADLINE_UNREACHABLE, "no time is left"), "placed too late");
            return;
        }
        attempts++;
        log("sent")
                .text("server", placement.server())
                .number("attempt", attempts)
                .number("waitedMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivedNanos()))
                .number("leftMs", job.deadline().leftMs(nowNanos))
                .number(
                        "promptTokens",
                        job.prompt().map(PromptShape::promptTokens).orElse(0L))
                .text("why", placement.reason())
                .text(
                        "readers",
                        placement.readers().stream().map(PlacedReader::server).toList())
                .write();
        HttpConnection connection = forwarder.pools().acquire(placement.server(), !route.mayRepeat(), nowNanos);
        attempt = new Attempt(placement.server(), connection, nowNanos, group);
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
        for (PlacedReader reader : placement.readers()) {
            forwarder
                    .pools()
                    .find(reader.server())
                    .ifPresent(server -> readers.add(new Send.Reader(server.address(), group.nameAt(reader.server()))));
        }
        return readers;
    }

    // Ends

    private void timeIsOver() {
        if (finished) {
            return;
        }
        if (answerBegun) {
            breakOff("time is over within the answer");
            return;
        }
        Problem problem = attempts == 0
                ? Problem.notRun(ProblemKind.DEADLINE_UNREACHABLE, "no backend server was free in time")
                : Problem.unknown(ProblemKind.DEADLINE_PASSED, "no answer in time");
        Attempt cancelled = attempt;
        answer(problem, "time is over");
        if (cancelled != null) {
            cancelled.cancel();
        }
    }

    private void attemptFailed(Attempt failed, AttemptEnd end, String reason, Optional<FullHttpResponse> failure) {
        long nowNanos = System.nanoTime();
        attempt = null;
        mayHaveRun |= end.mayHaveRun();
        log("attemptFailed")
                .text("server", failed.server)
                .text("end", end)
                .text("reason", reason)
                .number("afterMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - failed.sentNanos))
                .number("events", events)
                .write();
        lane.ended(job, end.endOfWork(), nowNanos);
        if (finished) {
            failure.ifPresent(FullHttpResponse::release);
            return;
        }
        if (maySendAgain(end, nowNanos)) {
            failure.ifPresent(FullHttpResponse::release);
            lane.submit(this, job, nowNanos);
            return;
        }
        giveUp(end, reason, failure);
    }

    private boolean maySendAgain(AttemptEnd end, long nowNanos) {
        boolean repeatable = !end.mayHaveRun() || route.mayRepeat();
        boolean resumable = !answerBegun || route.isResumable();
        return repeatable
                && resumable
                && attempts < route.maxAttempts()
                && !job.deadline().hasPassed(nowNanos)
                && (end == AttemptEnd.NOT_CONNECTED || lane.budget().tryRetry(nowNanos));
    }

    private void giveUp(AttemptEnd end, String reason, Optional<FullHttpResponse> failure) {
        if (answerBegun) {
            failure.ifPresent(FullHttpResponse::release);
            breakOff(reason);
            return;
        }
        if (failure.isPresent() && end == AttemptEnd.FAILED) {
            finish();
            log("answered").number("status", failure.get().status().code()).write();
            caller.answer(failure.get());
            return;
        }
        failure.ifPresent(FullHttpResponse::release);
        Problem problem = mayHaveRun
                ? Problem.unknown(ProblemKind.BACKEND_FAILED, reason)
                : Problem.notRun(ProblemKind.NO_BACKEND_SERVER, reason).withRetryAfterMs(forwarder.retryAfterMs());
        answer(problem, reason);
    }

    private void refuse(Problem problem, String reason) {
        if (finished) {
            return;
        }
        if (answerBegun) {
            breakOff(reason);
            return;
        }
        Problem truthful = mayHaveRun ? Problem.unknown(ProblemKind.BACKEND_FAILED, problem.detail()) : problem;
        answer(truthful, reason);
    }

    private void answer(Problem problem, String reason) {
        finish();
        log("refused")
                .number("status", problem.kind().httpStatus())
                .text("run", problem.run())
                .text("reason", reason)
                .number("retryAfterMs", problem.retryAfterMs())
                .number("attempts", attempts)
                .number("afterMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - job.arrivedNanos()))
                .write();
        caller.answer(ProblemResponses.of(problem));
    }

    private void breakOff(String reason) {
        finish();
        log("brokenOff").text("reason", reason).number("events", events).write();
        caller.abort();
        if (attempt != null) {
            attempt.cancel();
        }
    }

    private void finish() {
        finished = true;
        timer.cancel(false);
        lane.forget(job);
        body.release();
    }

    private io.figspan.gateway.log.DecisionLog.Line log(String event) {
        return forwarder.log().info(Part.ENTRY, event).text("request", job.requestId());
    }

    /** One sending to one server. */
    private final class Attempt implements ExchangeListener {
        private final BackendServerId server;
        private final HttpConnection connection;
        private final long sentNanos;
        private final EventSplitter splitter = new EventSplitter(Forwarder.MAX_EVENT_BYTES);
        private final HoldGroup holds;
        private HttpResponse head;
        private BackendAnswer answer;
        private ByteBuf whole = Unpooled.EMPTY_BUFFER;
        private boolean streams;
        private long pieces;
        private boolean discarded;

        Attempt(BackendServerId server, HttpConnection connection, long sentNanos, HoldGroup holds) {
            this.holds = holds;
            this.server = server;
            this.connection = connection;
            this.sentNanos = sentNanos;
        }

        /** Stops the server's work, as far as closing the connection does. */
        void cancel() {
            connection.abort();
            release();
            lane.ended(job, EndOfWork.CANCELLED, System.nanoTime());
        }

        /** Lets the server finish; its answer is dropped. */
        void discard() {
            discarded = true;
        }

        @Override
        public void onHead(HttpResponse received) {
            head = received;
            answer = forwarder.backendProtocol().decode(received);
            if (!answer.attemptId().equals(request.attemptId())) {
                connection.abort();
                fail(AttemptEnd.BROKEN, "answer to another request");
                return;
            }
            if (answer.isSuccess() && !answer.isSigned()) {
                connection.abort();
                fail(AttemptEnd.BROKEN, "success without signature");
                return;
            }
            streams = answer.isSuccess() && route.kind().isStreaming();
        }

        @Override
        public void onContent(ByteBuf content) {
            if (discarded) {
                return;
            }
            if (!streams) {
                whole = whole.isReadable() || whole.capacity() > 0 ? whole : Unpooled.buffer();
                whole.writeBytes(content, content.readerIndex(), content.readableBytes());
                return;
            }
            if (!splitter.add(content, this::passOn)) {
                connection.abort();
                fail(AttemptEnd.BROKEN, "event is too long");
            }
        }

        private void passOn(ByteBuf event, OptionalLong id) {
            if (finished) {
                event.release();
                return;
            }
            beginStream();
            if (id.isPresent()) {
                lastEventId = id;
            }
            events++;
            pieces++;
            lane.pieceArrived(job, pieces, System.nanoTime());
            caller.write(event);
            if (!caller.isWritable()) {
                connection.setReading(false);
            }
        }

        private void beginStream() {
            if (answerBegun) {
                return;
            }
            answerBegun = true;
            log("answerBegan")
                    .text("server", server)
                    .number("afterMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - job.arrivedNanos()))
                    .write();
            HttpResponse begun = forwarder.callerProtocol().answerHead(head);
            begun.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
            begun.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            caller.begin(begun);
        }

        @Override
        public void onComplete() {
            forwarder.pools().release(server, connection);
            if (discarded) {
                release();
                lane.ended(job, EndOfWork.SERVED, System.nanoTime());
                return;
            }
            if (answer.provesNotRun()) {
                fail(AttemptEnd.TURNED_AWAY, "status " + answer.status() + faultyServer());
            } else if (streams) {
                completeStream();
            } else if (answer.isSuccess()) {
                completeWhole();
            } else {
                failWith(wholeAnswer());
            }
        }

        private String faultyServer() {
            return answer.faultyServer().map(address -> " for " + address).orElse("");
        }

        private void completeStream() {
            if (splitter.hasPartialEvent()) {
                fail(AttemptEnd.BROKEN, "stream ended within an event");
                return;
            }
            beginStream();
            release();
            attempt = null;
            finish();
            log("answered")
                    .number("status", answer.status())
                    .number("events", events)
                    .write();
            caller.end();
            lane.ended(job, EndOfWork.SERVED, System.nanoTime());
        }

        private void completeWhole() {
            FullHttpResponse response = wholeAnswer();
            attempt = null;
            finish();
            log("answered")
                    .number("status", answer.status())
                    .text("server", server)
                    .number("afterMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - job.arrivedNanos()))
                    .write();
            caller.answer(response);
            lane.ended(job, EndOfWork.SERVED, System.nanoTime());
        }

        private FullHttpResponse wholeAnswer() {
            HttpResponse begun = forwarder.callerProtocol().answerHead(head);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, begun.status(), whole);
            response.headers().set(begun.headers());
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, whole.readableBytes());
            whole = Unpooled.EMPTY_BUFFER;
            return response;
        }

        private void failWith(FullHttpResponse failure) {
            release();
            attemptFailed(this, AttemptEnd.FAILED, "status " + answer.status(), Optional.of(failure));
        }

        private void fail(AttemptEnd end, String reason) {
            release();
            attemptFailed(this, end, reason, Optional.empty());
        }

        private void release() {
            forwarder.holds().release(holds);
            splitter.release();
            whole.release();
            whole = Unpooled.EMPTY_BUFFER;
        }

        @Override
        public void onFailure(ConnectionFailure failure) {
            AttemptEnd end = failure.mayHaveArrived() ? AttemptEnd.BROKEN : AttemptEnd.NOT_CONNECTED;
            fail(end, failure.toString());
        }
    }
}
