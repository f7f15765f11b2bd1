package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendServerId;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.backend.BackendServer;
import io.figspan.gateway.backend.HoldGroup;
import io.figspan.gateway.backend.MemoryHolds.HoldRequest;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.Placement;
import io.figspan.policy.placing.Placer.AttemptOutcome;
import java.util.List;
import java.util.Optional;

/**
 * Handles the placements of one request: reserves the memory that a placement needs at other engines, and verifies that
 * the request may still be sent. All methods must be called on the event loop.
 */
final class PlacementHandler {
    /** Retry-After when no engines have the memory; requests with the longest prompts finish within a few seconds. */
    private static final long MEMORY_RETRY_AFTER_MS = 1_000;

    private final Forwarder forwarder;
    private final ServiceDispatcher dispatcher;
    private final Job job;
    private final CallLog log;
    private final AttemptHistory history;
    private final CrashObserver crashObserver;
    private final CallStateMachine state;
    private final Listener listener;
    private Optional<Placement.Send> reserving = Optional.empty();
    private long placedNanos;

    /** Receives the result of a placement. */
    interface Listener {
        /** The request may be sent to the server, which uses the holds. */
        void onSendAllowed(Placement.Send placement, HoldGroup holds, BackendServer server, long nowNanos);

        /** The request had ended when memory was reserved for it; the memory is released. */
        void onReservationGivenUp();

        /** The placement could not be used; the request needs another one. */
        void onPlacementNeeded(long nowNanos);

        /** The request is not sent; nothing of the placement is left. */
        void onPlacementRefused(Problem problem, String reason);

        /** Whether the request, sent now, ends before this host stops. */
        boolean endsBeforeStop(long nowNanos);

        /** The request is not sent, since it would not end before this host stops; nothing of the placement is left. */
        void onOutOfTime();
    }

    PlacementHandler(
            Forwarder forwarder,
            ServiceDispatcher dispatcher,
            Job job,
            CallLog log,
            AttemptHistory history,
            CrashObserver crashObserver,
            CallStateMachine state,
            Listener listener) {
        this.forwarder = forwarder;
        this.dispatcher = dispatcher;
        this.job = job;
        this.log = log;
        this.history = history;
        this.crashObserver = crashObserver;
        this.state = state;
        this.listener = listener;
    }

    void handle(Placement placement) {
        if (placement instanceof Placement.Refuse refuse) {
            listener.onPlacementRefused(refuse.problem(), refuse.reason());
        } else if (placement instanceof Placement.Send send) {
            placedNanos = System.nanoTime();
            reserveOrSend(send);
        }
    }

    /** Whether memory is being reserved for the request. */
    boolean isReserving() {
        return reserving.isPresent();
    }

    /** Withdraws the request from placement; memory that is being reserved for it is released. */
    void cancel(long nowNanos) {
        reserving.ifPresent(placement -> job.tried().remove(placement.server()));
        reserving = Optional.empty();
        dispatcher.withdraw(job);
        dispatcher.ended(job, AttemptOutcome.CANCELLED, nowNanos);
    }

    /** The request goes on at a server that was silent; it must not be placed elsewhere. */
    void resume(BackendServerId server, long nowNanos) {
        dispatcher.resumed(job, server, nowNanos);
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
        reserving = Optional.of(placement);
        forwarder.holds().reserve(requests, job.deadline(), group -> onReservationResult(placement, group));
    }

    private void onReservationResult(Placement.Send placement, HoldGroup group) {
        boolean isCancelled = reserving.filter(placement::equals).isEmpty();
        if (isCancelled) {
            forwarder.holds().release(group);
            return;
        }
        reserving = Optional.empty();
        if (state.isDone()) {
            giveUpPlacement(group, System.nanoTime());
            listener.onReservationGivenUp();
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
        group.unresponsiveEngine().ifPresent(engine -> dispatcher.helperFailed(engine, nowNanos));
        history.recordFailedReservation();
        state.transition(CallEvent.FAILED);
        dispatcher.ended(job, AttemptOutcome.CANCELLED, nowNanos);
        if (history.mayReserveAgain(nowNanos)) {
            job.tried().remove(placement.server());
            listener.onPlacementNeeded(nowNanos);
            return;
        }
        Problem problem = Problem.notRun(ProblemKind.OVERLOADED, "no engines have the memory for the prompt");
        listener.onPlacementRefused(problem.withRetryAfterMs(MEMORY_RETRY_AFTER_MS), group.failure());
    }

    /** Sends the request, unless its deadline has passed or the server no longer accepts new requests. */
    private void send(Placement.Send placement, HoldGroup group) {
        long nowNanos = System.nanoTime();
        if (job.deadline().hasPassed(nowNanos)) {
            giveUpPlacement(group, nowNanos);
            listener.onPlacementRefused(
                    Problem.notRun(ProblemKind.DEADLINE_UNREACHABLE, "no time is left"),
                    "the deadline passed before the request was sent");
            return;
        }
        Optional<Problem> refusal = crashObserver.refusalOfSend(nowNanos);
        if (refusal.isPresent()) {
            giveUpPlacement(group, nowNanos);
            listener.onPlacementRefused(refusal.get(), refusal.get().detail());
            return;
        }
        if (!listener.endsBeforeStop(nowNanos)) {
            giveUpPlacement(group, nowNanos);
            listener.onOutOfTime();
            return;
        }
        if (!allAcceptRequests(placement)) {
            if (group != HoldGroup.NONE) {
                state.transition(CallEvent.FAILED);
            }
            giveUpPlacement(group, nowNanos);
            if (isEvacuated(placement)) {
                forwarder.metrics().count(GatewayMetrics.PLACED_AGAIN);
            }
            listener.onPlacementNeeded(nowNanos);
            return;
        }
        BackendServer server = forwarder.pools().find(placement.server()).orElseThrow();
        listener.onSendAllowed(placement, group, server, nowNanos);
    }

    private boolean isEvacuated(Placement.Send placement) {
        BackendPools pools = forwarder.pools();
        return pools.isEvacuated(placement.server())
                || placement.readers().stream().anyMatch(reader -> pools.isEvacuated(reader.server()));
    }

    /**
     * Whether neither the server nor one of its helpers has left, has begun to drain or is in a zone that was evacuated
     * since the placement, and the server has not become cold.
     */
    private boolean allAcceptRequests(Placement.Send placement) {
        BackendPools pools = forwarder.pools();
        return pools.acceptsRequests(placement.server())
                && forwarder.requestLimits().coldServers().mayWrite(placement.server(), placedNanos)
                && placement.readers().stream().allMatch(reader -> pools.acceptsRequests(reader.server()));
    }

    private void giveUpPlacement(HoldGroup group, long nowNanos) {
        forwarder.holds().release(group);
        dispatcher.ended(job, AttemptOutcome.CANCELLED, nowNanos);
    }
}
