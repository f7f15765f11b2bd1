package io.figspan.gateway.backend;

import io.figspan.control.hold.HoldAction;
import io.figspan.control.hold.HoldLedger;
import io.figspan.control.hold.HoldLedgerConfig;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.time.Deadline;
import io.figspan.core.time.MonotonicClock;
import io.figspan.gateway.log.DecisionLog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reserves memory at several engines for prompts that don't fit into one. Holds are short leases that are renewed, so
 * that the memory is freed soon after this process dies. All methods must be called on the event loop.
 */
public final class MemoryHolds {
    /** Engines respond within a few milliseconds; one that takes longer is down, unreachable or ignores requests. */
    private static final long RESPONSE_TIMEOUT_MS = 250;

    private static final long CHECK_RESPONSE_TIMEOUT_MS = 500;

    /** Lease of a hold; the memory reserved by a dead host is freed within this time. */
    private static final long LEASE_MS = 3_000;

    /** Time after a request's deadline at which its holds are released in any case. */
    private static final long RELEASE_GRACE_MS = 500;

    private static final long RELEASE_RETRY_MS = 250;

    /** Maximum number of holds; far more than one host has in progress. */
    static final int MAX_HOLDS = 1_024;

    private final EngineClient engines;
    private final DecisionLog log;
    private final MonotonicClock clock;
    private final HoldLedger ledger;
    private final HoldUserMonitor holdUsers = new HoldUserMonitor();
    private final Map<HoldHandle, Pending> pending = new HashMap<>();

    /** The group of a hold whose reservation is not answered yet. */
    private record Pending(HoldGroup group, Consumer<HoldGroup> listener) {}

    /** A request for memory at one engine. */
    public record HoldRequest(BackendServerId server, long tokens) {}

    public MemoryHolds(EngineClient engines, DecisionLog log, HostIncarnation self, MonotonicClock clock) {
        this.engines = engines;
        this.log = log;
        this.clock = clock;
        this.ledger = new HoldLedger(
                self, new HoldLedgerConfig(MAX_HOLDS, RELEASE_GRACE_MS, RELEASE_RETRY_MS).withLeaseMs(LEASE_MS));
    }

    /**
     * Reserves memory at all engines concurrently. The listener is called once: when all holds are granted, or when the
     * first one fails. If a hold can't even be requested, nothing is reserved, and the listener is called before this
     * method returns.
     */
    public void reserve(List<HoldRequest> requests, Deadline deadline, Consumer<HoldGroup> listener) {
        HoldGroup group = new HoldGroup();
        List<HoldAction.Reserve> reservations = new ArrayList<>();
        for (HoldRequest request : requests) {
            Result<HoldAction.Reserve> reservation = addToLedger(request, deadline);
            if (reservation instanceof Result.Ok<HoldAction.Reserve> ok) {
                reservations.add(ok.value());
            } else if (reservation instanceof Result.Failed<HoldAction.Reserve> failed) {
                reservations.forEach(unsent -> ledger.onRefused(unsent.handle()));
                group.markFailed(failed.problem().detail());
                listener.accept(group);
                return;
            }
        }
        send(reservations, group, listener);
    }

    private Result<HoldAction.Reserve> addToLedger(HoldRequest request, Deadline deadline) {
        if (!engines.isRegistered(request.server())) {
            return Result.failed(Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "the engine is no longer registered"));
        }
        if (!engines.acceptsRequests(request.server())) {
            return Result.failed(Problem.notRun(ProblemKind.NO_BACKEND_SERVER, "the engine accepts no new requests"));
        }
        BackendIncarnation engine = new BackendIncarnation(request.server(), 0);
        return ledger.reserve(engine, request.tokens(), deadline, clock.nowNanos());
    }

    private void send(List<HoldAction.Reserve> reservations, HoldGroup group, Consumer<HoldGroup> listener) {
        for (HoldAction.Reserve reservation : reservations) {
            group.add(reservation.engine().server(), reservation.handle());
            pending.put(reservation.handle(), new Pending(group, listener));
        }
        reservations.forEach(this::execute);
    }

    /**
     * Starts monitoring an engine that uses the memory of a group. The listener is called at most once: if the engine
     * is found dead or one of the holds is lost before the group is released.
     */
    public void monitorUse(HoldGroup group, BackendServer engine, Runnable lostListener) {
        if (group != HoldGroup.NONE) {
            holdUsers.add(group, engine, lostListener, clock.nowNanos());
        }
    }

    /** Releases all holds of a group, including those whose reservation an engine may still carry out late. */
    public void release(HoldGroup group) {
        holdUsers.remove(group);
        long nowNanos = clock.nowNanos();
        for (HoldHandle handle : group.handles()) {
            pending.remove(handle);
            ledger.release(handle, nowNanos).forEach(this::execute);
        }
    }

    /** Number of holds that are not released yet. */
    public long openCount() {
        return ledger.size();
    }

    /** Renews leases, retries releases and checks the engines that use the memory. */
    public void tick(long nowNanos) {
        holdUsers.dueChecks(nowNanos).forEach(this::check);
        if (ledger.size() > 0) {
            ledger.onTick(nowNanos).forEach(this::execute);
        }
    }

    private void check(HoldUserMonitor.HoldUser user) {
        if (engines.isPaused(user.engine())) {
            return;
        }
        engines.probe(user.engine(), user.address(), CHECK_RESPONSE_TIMEOUT_MS, outcome -> onChecked(user, outcome));
    }

    private void onChecked(HoldUserMonitor.HoldUser user, EngineOutcome outcome) {
        if (holdUsers.recordCheck(user, outcome.isDone())) {
            onUseLost(user, outcome.reason());
        }
    }

    private void onUseLost(HoldUserMonitor.HoldUser user, String reason) {
        log.warn(Part.HOLD, "useLost")
                .text("server", user.engine())
                .text("reason", reason)
                .write();
        user.lostListener().run();
    }

    private void execute(HoldAction action) {
        if (!engines.isRegistered(action.engine().server())) {
            ledger.onEngineGone(action.engine());
            return;
        }
        if (!engines.tryMessage(action.engine().server())) {
            return;
        }
        if (action instanceof HoldAction.Reserve reserve) {
            engines.reserve(reserve, RESPONSE_TIMEOUT_MS, outcome -> onReserveOutcome(reserve, outcome));
        } else if (action instanceof HoldAction.Release release) {
            engines.release(release, RESPONSE_TIMEOUT_MS, outcome -> onReleaseOutcome(release, outcome));
        }
    }

    private void onReserveOutcome(HoldAction.Reserve reserve, EngineOutcome outcome) {
        HoldHandle handle = reserve.handle();
        log.info(Part.HOLD, outcome.isDone() ? "held" : "notHeld")
                .text("hold", handle)
                .text("server", reserve.engine().server())
                .number("tokens", reserve.tokens())
                .number("leaseMs", reserve.timeLeftMs())
                .text("reason", outcome.reason())
                .write();
        if (outcome.isDone()) {
            ledger.onReserved(handle, clock.nowNanos()).forEach(this::execute);
            resolve(handle, HoldGroup::markGranted);
        } else if (outcome.kind() == EngineOutcome.Kind.REFUSED) {
            ledger.onRefused(handle);
            resolve(handle, group -> group.markFailed("an engine has too little free memory"));
            holdUsers.removeByHold(handle).ifPresent(user -> onUseLost(user, "an engine no longer holds the memory"));
        } else if (outcome.kind() == EngineOutcome.Kind.REJECTED) {
            onReserveRejected(reserve);
        } else {
            BackendServerId engine = reserve.engine().server();
            resolve(handle, group -> group.markUnresponsive(engine, outcome.reason()));
        }
    }

    /** A rejected reservation reserves nothing. After a rejected renewal the memory is held until its lease ends. */
    private void onReserveRejected(HoldAction.Reserve reserve) {
        HoldHandle handle = reserve.handle();
        ledger.onRefused(handle);
        if (!engines.isPaused(reserve.engine().server())) {
            ledger.retryRenewal(handle, clock.nowNanos());
        }
        resolve(handle, group -> group.markFailed("an engine accepts no reservations now"));
    }

    private void onReleaseOutcome(HoldAction.Release release, EngineOutcome outcome) {
        if (outcome.isDone()) {
            ledger.onReleaseAnswered(release.handle(), true);
            log.info(Part.HOLD, "released").text("hold", release.handle()).write();
        }
    }

    private void resolve(HoldHandle handle, Consumer<HoldGroup> result) {
        Pending reservation = pending.remove(handle);
        if (reservation == null || reservation.group().isResolved()) {
            return;
        }
        result.accept(reservation.group());
        if (reservation.group().isResolved()) {
            reservation.listener().accept(reservation.group());
        }
    }
}
