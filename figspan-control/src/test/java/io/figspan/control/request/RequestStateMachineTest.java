package io.figspan.control.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.RunState;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.StreamId;
import io.figspan.core.time.Deadline;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestStateMachineTest {
    private static final BackendIncarnation ENGINE = new BackendIncarnation(BackendServerId.of("e1"), 1);
    private static final BackendIncarnation OTHER_ENGINE = new BackendIncarnation(BackendServerId.of("e2"), 1);
    private static final StreamId STREAM = StreamId.of("s1");
    private static final StreamId OTHER_STREAM = StreamId.of("s2");
    private static final long RESUME_GRACE_MS = 2;

    private final RequestStateMachine request = new RequestStateMachine(new Deadline(10_000_000), RESUME_GRACE_MS);

    /** Guards against answers with repeated or reordered parts, or parts of another stream. */
    @Test
    void partsAreForwardedOnceInOrderAndOnlyFromTheCurrentStream() {
        request.onStart(ENGINE, STREAM, 0);
        assertEquals(List.of(new RequestAction.SendPart(0, "a")), request.onPart(part(ENGINE, STREAM, 0, "a"), 1));
        assertEquals(List.of(), request.onPart(part(ENGINE, STREAM, 0, "a"), 2));
        assertEquals(List.of(), request.onPart(part(ENGINE, OTHER_STREAM, 1, "x"), 3));
        assertEquals(
                List.of(new RequestAction.ResumeStream(ENGINE, STREAM, 1)),
                request.onPart(part(ENGINE, STREAM, 2, "c"), 4));
        assertEquals(List.of(new RequestAction.SendPart(1, "b")), request.onPart(part(ENGINE, STREAM, 1, "b"), 5));
    }

    /** Guards against late parts of a failed engine being mixed with those of the engine that continues. */
    @Test
    void afterAnEngineFailureTheAnswerContinuesAndTheFailedEngineIsIgnored() {
        request.onStart(ENGINE, STREAM, 0);
        request.onPart(part(ENGINE, STREAM, 0, "a"), 1);
        request.onEngineLost(ENGINE, true, 2);
        request.onStart(OTHER_ENGINE, OTHER_STREAM, 3);
        assertEquals(List.of(), request.onPart(part(ENGINE, STREAM, 1, "late"), 4));
        assertEquals(
                List.of(new RequestAction.SendPart(1, "b")),
                request.onPart(part(OTHER_ENGINE, OTHER_STREAM, 0, "b"), 5));
    }

    @Test
    void theDeadlineEndsTheRequestOnceAndReleasesItsHolds() {
        request.onStart(ENGINE, STREAM, 0);
        List<RequestAction> actions = request.onTick(10_000_000);
        assertTrue(actions.contains(new RequestAction.CancelStream(ENGINE, STREAM)));
        assertTrue(actions.contains(new RequestAction.ReleaseHolds()));
        assertEquals(List.of(), request.onPart(part(ENGINE, STREAM, 0, "late"), 10_000_001));
        assertEquals(List.of(), request.onTick(10_000_002));
    }

    /** Guards against reporting notRun for a prompt that an engine may have run. */
    @Test
    void notRunIsReportedOnlyIfNoEngineAcceptedTheRequest() {
        Problem noEngine = Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "none");
        request.onStart(ENGINE, STREAM, 0);
        request.onEngineRefused(STREAM, 1);
        request.onStart(OTHER_ENGINE, OTHER_STREAM, 2);
        request.onEngineLost(OTHER_ENGINE, true, 3);
        assertEquals(RunState.UNKNOWN, problem(request.onFail(noEngine)).run());

        RequestStateMachine refused = new RequestStateMachine(new Deadline(10_000_000), RESUME_GRACE_MS);
        refused.onStart(ENGINE, STREAM, 0);
        refused.onEngineRefused(STREAM, 1);
        assertEquals(RunState.NOT_RUN, problem(refused.onFail(noEngine)).run());
    }

    /** Guards against a stream that runs on without a reader, and against cancelling one that another host resumed. */
    @Test
    void aDetachedStreamIsKeptForAResumeAndThenCancelledUnlessItIsRead() {
        request.onStart(ENGINE, STREAM, 0);
        assertEquals(List.of(), request.onCallerGone(1));
        assertEquals(List.of(), request.onTick(2_000_000));
        assertEquals(List.of(new RequestAction.CancelIfUnread(ENGINE, STREAM)), request.onTick(2_000_001));
        assertEquals(List.of(), request.onCancelIfUnreadResult(false));
        assertEquals(List.of(new RequestAction.ReleaseHolds()), request.onCancelIfUnreadResult(true));
        assertEquals(RequestState.ABANDONED, request.state());
    }

    /** Guards against sending a start call after the request has ended. */
    @Test
    void aStartAfterTheEndIsCancelled() {
        request.onCallerGone(1);
        assertEquals(List.of(new RequestAction.CancelStream(ENGINE, STREAM)), request.onStart(ENGINE, STREAM, 2));
    }

    private static Problem problem(List<RequestAction> actions) {
        return actions.stream()
                .filter(RequestAction.SendProblem.class::isInstance)
                .map(action -> ((RequestAction.SendProblem) action).problem())
                .findFirst()
                .orElseThrow();
    }

    private static StreamEvent part(BackendIncarnation engine, StreamId stream, long offset, String text) {
        return new StreamEvent(engine, stream, offset, text, false);
    }
}
