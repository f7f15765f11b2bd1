package io.figspan.gateway.backend;

import io.figspan.control.hold.HoldAction;
import io.figspan.control.hold.HoldLedger;
import io.figspan.control.hold.HoldLedgerConfig;
import io.figspan.core.error.Result;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.time.Deadline;
import io.figspan.gateway.http.HttpConnection;
import io.figspan.gateway.http.BufferedExchange;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.protocol.BackendProtocol;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Holds memory at engines for prompts that one engine can't hold. Holds are short leases that are renewed, so that the
 * memory comes back soon after this process has died. All methods run on the event loop.
 */
public final class MemoryHolds {
    /** An engine answers within a few milliseconds; one that needs longer is down, cut off or ignores orders. */
    private static final long ANSWER_TIMEOUT_MS = 250;

    private static final int CHECK_CONNECT_TIMEOUT_MS = 400;
    private static final long CHECK_TIMEOUT_MS = 500;

    /** Memory of a dead host comes back within this time. */
    private static final long LEASE_MS = 3_000;

    /** Time after the request's deadline at which its memory is given back in any case. */
    private static final long GRACE_MS = 500;

    private static final long RELEASE_AGAIN_MS = 250;

    /** Far more than one host has in progress. */
    private static final int MAX_HOLDS = 1_024;

    private final EventLoop loop;
    private final BackendPools pools;
    private final BackendProtocol protocol;
    private final DecisionLog log;
    private final HoldLedger ledger;
    private final HoldUserMonitor uses = new HoldUserMonitor();
    private final Map<HoldHandle, Pending> pending = new HashMap<>();

    /** A group whose reserve call is not answered yet. */
    private record Pending(HoldGroup group, Consumer<HoldGroup> listener) {}

    /** Memory that is wanted at one engine. */
    public record HoldRequest(BackendServerId server, long tokens) {}

    public MemoryHolds(
            EventLoop loop, BackendPools pools, BackendProtocol protocol, DecisionLog log, HostIncarnation self) {
        this.loop = loop;
        this.pools = pools;
        this.protocol = protocol;
        this.log = log;
        this.ledger =
                new HoldLedger(self, new HoldLedgerConfig(MAX_HOLDS, GRACE_MS, RELEASE_AGAIN_MS).withLeaseMs(LEASE_MS));
    }

    /** Asks all engines at once. The listener hears once, when all hold the memory or one does not. */
    public void reserve(List<HoldRequest> wanted, Deadline deadline, Consumer<HoldGroup> listener) {
        long nowNanos = System.nanoTime();
        HoldGroup group = new HoldGroup();
        for (HoldRequest hold : wanted) {
            BackendIncarnation engine = new BackendIncarnation(hold.server(), 0);
            Result<HoldAction.Reserve> reserve = ledger.reserve(engine, hold.tokens(), deadline, nowNanos);
            if (reserve instanceof Result.Ok<HoldAction.Reserve> ok) {
                group.add(hold.server(), ok.value().handle());
                pending.put(ok.value().handle(), new Pending(group, listener));
                carryOut(ok.value());
            } else if (reserve instanceof Result.Failed<HoldAction.Reserve> failed) {
                group.failed(failed.problem().detail());
                listener.accept(group);
                return;
            }
        }
    }

    /**
     * An engine begins to use the memory of a group. The listener hears once if the engine is found dead or a part of
     * the memory is lost before the group is given back.
     */
    public void monitorUse(HoldGroup group, BackendServer engine, Runnable lostListener) {
        if (group != HoldGroup.NONE) {
            uses.begin(group, engine, lostListener, System.nanoTime());
        }
    }

    /** Gives the memory of a group back, also what an engine may still take late. */
    public void release(HoldGroup group) {
        uses.end(group);
        long nowNanos = System.nanoTime();
        for (HoldHandle handle : group.handles()) {
            pending.remove(handle);
            ledger.release(handle, nowNanos).forEach(this::carryOut);
        }
    }

    /** Number of holds that are not given back yet. */
    public long openCount() {
        return ledger.size();
    }

    /** Renews leases, repeats releases and asks the engines that use the memory. */
    public void tick(long nowNanos) {
        uses.due(nowNanos).forEach(this::check);
        if (ledger.size() > 0) {
            ledger.onTick(nowNanos).forEach(this::carryOut);
        }
    }

    private void check(HoldUserMonitor.Use use) {
        HttpConnection connection = HttpConnection.open(loop, use.address(), CHECK_CONNECT_TIMEOUT_MS);
        FullHttpRequest request = protocol.report(use.engine());
        BufferedExchange.send(loop, connection, request, CHECK_TIMEOUT_MS, new BufferedExchange.Listener() {
            @Override
            public void onResponse(int status, byte[] body) {
                connection.close();
                checked(use, protocol.isDone(status), "status " + status);
            }

            @Override
            public void onFailure(String reason) {
                checked(use, false, reason);
            }
        });
    }

    private void checked(HoldUserMonitor.Use use, boolean isAlive, String reason) {
        if (uses.checked(use, isAlive)) {
            lost(use, reason);
        }
    }

    private void lost(HoldUserMonitor.Use use, String reason) {
        log.warn(Part.HOLD, "useLost")
                .text("server", use.engine())
                .text("reason", reason)
                .write();
        use.lostListener().run();
    }

    private void carryOut(HoldAction action) {
        BackendServerId server = action.engine().server();
        if (pools.find(server).isEmpty()) {
            ledger.onEngineGone(action.engine());
            decide(action.handle(), "the engine is gone");
            return;
        }
        if (action instanceof HoldAction.Reserve reserve) {
            String name = reserve.handle().toString();
            FullHttpRequest request = protocol.reserve(server, name, reserve.tokens(), reserve.timeLeftMs());
            call(server, request, (done, reason) -> onReserveAnswer(reserve, done, reason));
        } else if (action instanceof HoldAction.Release release) {
            FullHttpRequest request = protocol.release(server, release.handle().toString());
            call(server, request, (done, reason) -> onReleaseAnswer(release, done));
        }
    }

    /** Hears whether an order was carried out; the reason is empty when the engine answered. */
    private interface OrderListener {
        void onResponse(boolean done, String reason);
    }

    private void call(BackendServerId server, FullHttpRequest request, OrderListener listener) {
        HttpConnection connection = pools.acquire(server, false, System.nanoTime());
        BufferedExchange.send(loop, connection, request, ANSWER_TIMEOUT_MS, new BufferedExchange.Listener() {
            @Override
            public void onResponse(int status, byte[] body) {
                pools.release(server, connection);
                listener.onResponse(protocol.isDone(status), "");
            }

            @Override
            public void onFailure(String reason) {
                listener.onResponse(false, reason);
            }
        });
    }

    private void onReserveAnswer(HoldAction.Reserve reserve, boolean done, String reason) {
        HoldHandle handle = reserve.handle();
        log.info(Part.HOLD, done ? "held" : "notHeld")
                .text("hold", handle)
                .text("server", reserve.engine().server())
                .number("tokens", reserve.tokens())
                .number("leaseMs", reserve.timeLeftMs())
                .text("reason", reason)
                .write();
        if (done) {
            ledger.onReserved(handle, System.nanoTime()).forEach(this::carryOut);
            decide(handle, "");
        } else if (reason.isEmpty()) {
            ledger.onRefused(handle);
            decide(handle, "an engine has too little memory");
            uses.holdLost(handle).ifPresent(use -> lost(use, "an engine no longer holds the memory"));
        } else {
            decide(handle, reason);
        }
    }

    private void onReleaseAnswer(HoldAction.Release release, boolean done) {
        if (done) {
            ledger.onReleaseAnswered(release.handle(), true);
            log.info(Part.HOLD, "released").text("hold", release.handle()).write();
        }
    }

    private void decide(HoldHandle handle, String failure) {
        Pending waiting = pending.remove(handle);
        if (waiting == null || waiting.group().isDecided()) {
            return;
        }
        if (failure.isEmpty()) {
            waiting.group().granted();
        } else {
            waiting.group().failed(failure);
        }
        if (waiting.group().isDecided()) {
            waiting.listener().accept(waiting.group());
        }
    }
}
