package io.figspan.control.request;

import io.figspan.core.chart.StateChart;
import io.figspan.core.error.Location;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.RunState;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.StreamId;
import io.figspan.core.time.Deadline;
import java.util.ArrayList;
import java.util.List;

/**
 * One prompt request at the host that serves it. It passes each part of the answer on once and in order, only from the
 * current stream of the current engine process, ends once and by its deadline, and asks for the release of its holds
 * when it ends. Not safe for use by several threads at once.
 */
public final class RequestStateMachine {
    private static final StateChart<RequestState, RequestEvent> CHART =
            StateChart.load("/charts/request.toml", RequestState.class, RequestEvent.class);

    private final Deadline deadline;
    private final long resumeGraceMs;
    private RequestState state = CHART.initial();
    private BackendIncarnation engine;
    private StreamId stream;
    /** Parts of the answer sent before the current stream began. */
    private long baseParts;
    /** Next position expected in the current stream. */
    private long nextOffset;

    /** Streams that were started and that no engine has refused; with one, the request may have run. */
    private int startedStreams;

    private Deadline resumeDeadline;

    /** {@code resumeGraceMs} is the time for which an answer without a reader is kept for a resume at any host. */
    public RequestStateMachine(Deadline deadline, long resumeGraceMs) {
        this.deadline = deadline;
        this.resumeGraceMs = resumeGraceMs;
    }

    public RequestState state() {
        return state;
    }

    /** Parts of the answer sent to the caller so far; a recovery continues after them. */
    public long sentParts() {
        return baseParts + nextOffset;
    }

    /** The request needs a group of engines. */
    public List<RequestAction> onReserve(long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        move(RequestEvent.RESERVE);
        return actions;
    }

    /**
     * A stream is about to be started on an engine; called before the start call is sent. The first part of the stream
     * continues {@link #sentParts}. When the returned actions cancel this stream, the call must not be sent.
     */
    public List<RequestAction> onStart(BackendIncarnation newEngine, StreamId newStream, long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        if (!move(RequestEvent.START)) {
            actions.add(new RequestAction.CancelStream(newEngine, newStream));
            return actions;
        }
        baseParts += nextOffset;
        nextOffset = 0;
        engine = newEngine;
        stream = newStream;
        startedStreams++;
        return actions;
    }

    /** This host takes over the reading of a stream that began elsewhere, after {@code offset} parts of it. */
    public List<RequestAction> onResume(BackendIncarnation newEngine, StreamId newStream, long offset, long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        if (move(RequestEvent.START)) {
            engine = newEngine;
            stream = newStream;
            nextOffset = offset;
            startedStreams++;
        }
        return actions;
    }

    /** Parts received of the current stream; the offset of the resume token that goes with the last part. */
    public long streamOffset() {
        return nextOffset;
    }

    /** The engine refused the start call and ran nothing of it; another engine may be tried. */
    public List<RequestAction> onEngineRefused(StreamId refused, long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        boolean current = refused.equals(stream) && nextOffset == 0;
        if (current && move(RequestEvent.REFUSED)) {
            startedStreams--;
        }
        return actions;
    }

    /** A part of an answer arrived, possibly late, repeated, out of order or of another stream. */
    public List<RequestAction> onPart(StreamEvent part, long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        boolean current = state == RequestState.RUNNING
                && part.engine().equals(engine)
                && part.stream().equals(stream);
        if (!current || part.offset() < nextOffset) {
            return actions;
        }
        if (part.offset() > nextOffset) {
            actions.add(new RequestAction.ResumeStream(engine, stream, nextOffset));
            return actions;
        }
        actions.add(new RequestAction.SendPart(sentParts(), part.text()));
        nextOffset++;
        if (part.last()) {
            move(RequestEvent.COMPLETE);
            actions.add(new RequestAction.Complete());
            actions.add(new RequestAction.ReleaseHolds());
        }
        return actions;
    }

    /**
     * The engine of the current stream was lost.
     *
     * @param recoverable another engine can continue in the remaining time
     */
    public List<RequestAction> onEngineLost(BackendIncarnation lost, boolean recoverable, long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        if (state != RequestState.RUNNING || !lost.equals(engine)) {
            return actions;
        }
        if (recoverable) {
            move(RequestEvent.ENGINE_LOST);
            actions.add(new RequestAction.ReleaseHolds());
            return actions;
        }
        actions.addAll(fail(Problem.unknown(ProblemKind.BACKEND_FAILED, "the engine failed during the answer")));
        return actions;
    }

    /** Ends the request at once with a problem: no engine, refused, recovery impossible. */
    public List<RequestAction> onFail(Problem problem) {
        return state.isEnded() || state == RequestState.DETACHED ? List.of() : fail(problem);
    }

    /** The caller closed its connection. A running answer is kept for a while, for a resume at any host. */
    public List<RequestAction> onCallerGone(long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        boolean running = state == RequestState.RUNNING;
        if (!move(RequestEvent.CALLER_GONE)) {
            return actions;
        }
        if (running) {
            resumeDeadline = Deadline.after(nowNanos, resumeGraceMs);
        } else if (state == RequestState.ABANDONED) {
            actions.add(new RequestAction.ReleaseHolds());
        }
        return actions;
    }

    /**
     * The engine answered {@link RequestAction.CancelIfUnread}. When another host reads the stream, its holds stay
     * until they expire on the engine.
     */
    public List<RequestAction> onCancelIfUnreadResult(boolean cancelled) {
        return cancelled ? List.of(new RequestAction.ReleaseHolds()) : List.of();
    }

    /** Applies what time alone decides: the deadline, and the end of the time for a resume. */
    public List<RequestAction> onTick(long nowNanos) {
        if (state == RequestState.DETACHED && (resumeDeadline.hasPassed(nowNanos) || deadline.hasPassed(nowNanos))) {
            move(RequestEvent.RESUME_OVER);
            List<RequestAction> actions = new ArrayList<>();
            actions.add(new RequestAction.CancelIfUnread(engine, stream));
            return actions;
        }
        if (state.isEnded() || state == RequestState.DETACHED || !deadline.hasPassed(nowNanos)) {
            return new ArrayList<>();
        }
        return fail(Problem.notRun(ProblemKind.DEADLINE_PASSED, "the deadline passed before the answer was complete"));
    }

    // Steps

    /** A request whose stream was started is never told as not run. */
    private List<RequestAction> fail(Problem problem) {
        List<RequestAction> actions = new ArrayList<>();
        cancelStream(actions);
        move(RequestEvent.FAIL);
        boolean mayHaveRun = startedStreams > 0 && problem.run() == RunState.NOT_RUN;
        actions.add(new RequestAction.SendProblem(mayHaveRun ? problem.withRun(RunState.UNKNOWN) : problem));
        actions.add(new RequestAction.ReleaseHolds());
        return actions;
    }

    private void cancelStream(List<RequestAction> actions) {
        if (state == RequestState.RUNNING) {
            actions.add(new RequestAction.CancelStream(engine, stream));
        }
    }

    private boolean move(RequestEvent event) {
        if (!CHART.moves(state, event)) {
            return false;
        }
        state = CHART.next(state, event).orThrow(Location.of("request"));
        return true;
    }
}
