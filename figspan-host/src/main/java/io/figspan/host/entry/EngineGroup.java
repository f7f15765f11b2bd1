package io.figspan.host.entry;

import io.figspan.control.hold.GroupMember;
import io.figspan.control.hold.GroupReservation;
import io.figspan.control.hold.HoldAction;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.event.Part;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.RequestId;
import io.figspan.core.time.Deadline;
import io.figspan.host.HostContext;
import io.figspan.host.backend.BackendTable;
import io.figspan.host.backend.EngineMessages;
import io.figspan.host.backend.HoldDriver;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;

/**
 * Engines of one availability zone that hold the KV cache of one long prompt, a segment each. Each engine imports the
 * cache of the segments before its own.
 */
final class EngineGroup implements HoldDriver.ReserveListener {
    /** An engine answers a reserve call within milliseconds; this bound covers a busy machine. */
    private static final long STEP_TIMEOUT_MS = 1_000;

    private static final long TICK_MS = 50;

    /** A member of the group with the text that it prefills. */
    private record Segment(BackendTable.Server server, String text) {}

    private final HostContext context;
    private final RequestId request;
    private final List<Segment> segments = new ArrayList<>();
    private final GroupReservation reservation;
    private final Promise<Void> acquired = Promise.promise();
    private final long timer;

    private EngineGroup(
            HostContext context,
            RequestId request,
            CompletionRequest prompt,
            List<BackendTable.Server> engines,
            Deadline deadline) {
        this.context = context;
        this.request = request;
        List<GroupMember> members = new ArrayList<>();
        int tokensPerSegment = (prompt.promptTokens() + engines.size() - 1) / engines.size();
        int chars = tokensPerSegment * CompletionRequest.CHARS_PER_TOKEN;
        for (int i = 0; i < engines.size(); i++) {
            boolean isLast = i == engines.size() - 1;
            int start = Math.min(prompt.prompt().length(), i * chars);
            int end =
                    isLast ? prompt.prompt().length() : Math.min(prompt.prompt().length(), start + chars);
            Segment segment = new Segment(engines.get(i), prompt.prompt().substring(start, end));
            segments.add(segment);
            long tokens = CompletionRequest.tokensOf(segment.text()) + (isLast ? prompt.outputTokens() : 0L);
            members.add(new GroupMember(
                    segment.server().incarnation(), segment.server().listed().availabilityZone(), tokens));
        }
        this.reservation = new GroupReservation(context.holds().ledger(), members, deadline, STEP_TIMEOUT_MS);
        this.timer = context.vertx().setPeriodic(TICK_MS, id -> carryOut(reservation.onTick(context.nowNanos())));
    }

    /** Starts to reserve the engines for a prompt. */
    static EngineGroup start(
            HostContext context,
            RequestId request,
            CompletionRequest prompt,
            Deadline deadline,
            List<BackendTable.Server> engines) {
        EngineGroup group = new EngineGroup(context, request, prompt, engines, deadline);
        group.carryOut(group.reservation.start(context.nowNanos()));
        return group;
    }

    /** Completes when every engine holds its memory; fails when the attempt is over without. */
    Future<Void> acquired() {
        return acquired.future();
    }

    int size() {
        return segments.size();
    }

    /** The engine that generates the answer. */
    BackendTable.Server lastServer() {
        return segments.get(segments.size() - 1).server();
    }

    /** The part of the prompt that the last engine prefills itself. */
    String lastText() {
        return segments.get(segments.size() - 1).text();
    }

    /** The hold on the last engine. */
    HoldHandle lastHold() {
        List<HoldHandle> handles = reservation.handles();
        return handles.get(handles.size() - 1);
    }

    /** Prefills all segments but the last, each from the cache of the ones before, and imports it at the last. */
    Future<Void> prefill(long priorityDelayMs, Deadline deadline) {
        List<HoldHandle> holds = reservation.handles();
        Future<Void> done = Future.succeededFuture();
        for (int i = 0; i + 1 < segments.size(); i++) {
            Segment segment = segments.get(i);
            BackendTable.Server next = segments.get(i + 1).server();
            HoldHandle hold = holds.get(i);
            HoldHandle nextHold = holds.get(i + 1);
            EngineMessages.Segment message = new EngineMessages.Segment(segment.text(), priorityDelayMs);
            done = done.compose(nothing -> context.engines()
                            .prefillSegment(
                                    segment.server(), hold, message, Math.max(1, deadline.leftMs(context.nowNanos()))))
                    .compose(nothing -> context.engines().exportKv(segment.server(), hold))
                    .compose(blob -> context.engines().importKv(next, nextHold, blob))
                    .onSuccess(nothing -> event("segment", segment.server().id() + " to " + next.id()));
        }
        return done;
    }

    /** Returns all memory, also of a reservation that is under way. Safe to repeat. */
    void release() {
        context.vertx().cancelTimer(timer);
        carryOut(reservation.release(context.nowNanos()));
    }

    @Override
    public List<HoldAction> onReserved(HoldHandle handle, long nowNanos) {
        event("taken", handle.toString());
        List<HoldAction> actions = reservation.onReserved(handle, nowNanos);
        checkStatus();
        return actions;
    }

    @Override
    public List<HoldAction> onRefused(HoldHandle handle, long nowNanos) {
        List<HoldAction> actions = reservation.onRefused(handle, nowNanos);
        checkStatus();
        return actions;
    }

    private void carryOut(List<HoldAction> actions) {
        context.holds().carryOut(actions, this);
        checkStatus();
    }

    private void checkStatus() {
        if (reservation.status() == GroupReservation.Status.RESERVING) {
            return;
        }
        context.vertx().cancelTimer(timer);
        if (reservation.status() == GroupReservation.Status.ACQUIRED) {
            acquired.tryComplete();
        } else {
            Problem problem = reservation
                    .problem()
                    .orElse(Problem.notRun(ProblemKind.OVERLOADED, "the reservation was given up"));
            acquired.tryFail(new FigspanException(problem.kind(), problem.detail(), Location.of("engine group")));
        }
    }

    private void event(String kind, String text) {
        context.timeline().add(Part.HOLD, kind, request.value(), text);
    }
}
