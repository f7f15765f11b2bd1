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
 * State machine of one prompt request at the host that serves it. It forwards each part of the answer once and in
 * order, only from the current stream of the current engine process, ends once and by its deadline, and releases its
 * holds when it ends. Not thread-safe.
 */
public final class RequestStateMachine {
    private static final StateChart<RequestState, RequestEvent> CHART =
            StateChart.load("/charts/request.toml", RequestState.class, RequestEvent.class);

    private final Deadline deadline;
    private final long resumeGraceMs;
    private RequestState state = CHART.initial();
    private BackendIncarnation engine;
    private StreamId stream;
    /** Number of parts sent to the caller before the current stream began. */
    private long baseParts;
    /** Offset of the next event expected in the current stream. */
    private long nextOffset;

    /** Number of streams started and not refused; if it is above 0, the request may have run. */
    private int startedStreams;

    private Deadline resumeDeadline;

    /**
     * Creates the state machine of an admitted request.
     *
     * @param resumeGraceMs time after the caller disconnects in which the answer can be resumed at any host
     */
    public RequestStateMachine(Deadline deadline, long resumeGraceMs) {
        this.deadline = deadline;
        this.resumeGraceMs = resumeGraceMs;
    }

    public RequestState state() {
        return state;
    }

    /** Number of parts sent to the caller so far; after an engine failure the next stream continues there. */
    public long sentParts() {
        return baseParts + nextOffset;
    }

    /** Starts the reservation of memory on a group of engines. */
    public List<RequestAction> onReserve(long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        transition(RequestEvent.RESERVE);
        return actions;
    }

    /**
     * Records that a stream is about to be started on an engine; called before the start call is sent. The first part
     * of the stream follows the {@link #sentParts} parts already sent. The call must not be sent if the returned
     * actions cancel this stream.
     */
    public List<RequestAction> onStart(BackendIncarnation startedEngine, StreamId startedStream, long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        if (!transition(RequestEvent.START)) {
            actions.add(new RequestAction.CancelStream(startedEngine, startedStream));
            return actions;
        }
        baseParts += nextOffset;
        nextOffset = 0;
        engine = startedEngine;
        stream = startedStream;
        startedStreams++;
        return actions;
    }

    /** Resumes a stream that was started by another host, after its first {@code offset} parts. */
    public List<RequestAction> onResume(
            BackendIncarnation startedEngine, StreamId startedStream, long offset, long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        if (transition(RequestEvent.START)) {
            engine = startedEngine;
            stream = startedStream;
            nextOffset = offset;
            startedStreams++;
        }
        return actions;
    }

    /** Number of parts received from the current stream; the offset of the resume token of the latest part. */
    public long streamOffset() {
        return nextOffset;
    }

    /** Handles a start call that the engine refused without running anything; another engine may be tried. */
    public List<RequestAction> onEngineRefused(StreamId refusedStream, long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        boolean current = refusedStream.equals(stream) && nextOffset == 0;
        if (current && transition(RequestEvent.REFUSED)) {
            startedStreams--;
        }
        return actions;
    }

    /** Handles a part from an engine; it may be late, repeated, out of order or from another stream. */
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
            transition(RequestEvent.COMPLETE);
            actions.add(new RequestAction.Complete());
            actions.add(new RequestAction.ReleaseHolds());
        }
        return actions;
    }

    /**
     * Handles the failure of an engine; ignored unless the current stream runs on it.
     *
     * @param recoverable whether another engine can continue in the remaining time
     */
    public List<RequestAction> onEngineLost(BackendIncarnation lostEngine, boolean recoverable, long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        if (state != RequestState.RUNNING || !lostEngine.equals(engine)) {
            return actions;
        }
        if (recoverable) {
            transition(RequestEvent.ENGINE_LOST);
            actions.add(new RequestAction.ReleaseHolds());
            return actions;
        }
        actions.addAll(fail(Problem.unknown(ProblemKind.BACKEND_FAILED, "the engine failed during the answer")));
        return actions;
    }

    /** Fails the request with a problem, unless it has ended or its caller is gone. */
    public List<RequestAction> onFail(Problem problem) {
        return state.isEnded() || state == RequestState.DETACHED ? List.of() : fail(problem);
    }

    /** Handles a caller that disconnected. A running answer is kept for the resume grace period, for any host. */
    public List<RequestAction> onCallerGone(long nowNanos) {
        List<RequestAction> actions = onTick(nowNanos);
        boolean running = state == RequestState.RUNNING;
        if (!transition(RequestEvent.CALLER_GONE)) {
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
     * Handles the engine's answer to {@link RequestAction.CancelIfUnread}. If another host reads the stream, the holds
     * are not released here but expire on the engine.
     */
    public List<RequestAction> onCancelIfUnreadResult(boolean cancelled) {
        return cancelled ? List.of(new RequestAction.ReleaseHolds()) : List.of();
    }

    /** Applies the timeouts: the deadline, and the end of the resume grace period. */
    public List<RequestAction> onTick(long nowNanos) {
        if (state == RequestState.DETACHED && (resumeDeadline.hasPassed(nowNanos) || deadline.hasPassed(nowNanos))) {
            transition(RequestEvent.RESUME_OVER);
            List<RequestAction> actions = new ArrayList<>();
            actions.add(new RequestAction.CancelIfUnread(engine, stream));
            return actions;
        }
        if (state.isEnded() || state == RequestState.DETACHED || !deadline.hasPassed(nowNanos)) {
            return new ArrayList<>();
        }
        return fail(Problem.notRun(ProblemKind.DEADLINE_PASSED, "the deadline passed before the answer was complete"));
    }

    /** Fails the request; once a stream was started, its run state is reported as unknown instead of not run. */
    private List<RequestAction> fail(Problem problem) {
        List<RequestAction> actions = new ArrayList<>();
        cancelStream(actions);
        transition(RequestEvent.FAIL);
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

    private boolean transition(RequestEvent event) {
        if (!CHART.changesState(state, event)) {
            return false;
        }
        state = CHART.next(state, event).orThrow(Location.of("request"));
        return true;
    }
}
