package io.figspan.host.backend;

import io.figspan.control.hold.HoldAction;
import io.figspan.control.hold.HoldLedger;
import io.figspan.control.hold.HoldLedgerConfig;
import io.figspan.control.hold.ListedHold;
import io.figspan.core.event.Part;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.host.operator.Timeline;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Carries out what the ledger of this host's holds decides. Used on the event loop only. */
public final class HoldDriver {
    private static final long TICK_MS = 100;

    /** Told how one reserve call ended. */
    public interface ReserveListener {
        List<HoldAction> onReserved(HoldHandle handle, long nowNanos);

        List<HoldAction> onRefused(HoldHandle handle, long nowNanos);
    }

    private final BackendTable backends;
    private final EngineClient engines;
    private final Timeline timeline;
    private final HoldLedger ledger;

    public HoldDriver(HostIncarnation self, BackendTable backends, EngineClient engines, Timeline timeline) {
        this.backends = backends;
        this.engines = engines;
        this.timeline = timeline;
        this.ledger = new HoldLedger(self, HoldLedgerConfig.DEFAULT);
    }

    public HoldLedger ledger() {
        return ledger;
    }

    public void start(Vertx vertx) {
        vertx.setPeriodic(TICK_MS, id -> carryOut(ledger.onTick(System.nanoTime()), null));
    }

    /** Releases what a report lists and nobody needs any more. */
    public void sweep(
            BackendTable.Server server,
            List<EngineMessages.ReportedHold> reported,
            Supplier<Map<HostId, HostIncarnation>> newest) {
        if (reported.isEmpty()) {
            return;
        }
        List<ListedHold> listed = new ArrayList<>();
        for (EngineMessages.ReportedHold hold : reported) {
            listed.add(new ListedHold(HoldHandle.parse(hold.handle()), hold.tokens(), hold.expiresInMs()));
        }
        for (HoldAction action : ledger.sweep(server.incarnation(), listed, newest.get())) {
            // Only holds without a reader: another host may have resumed the stream of a process that was replaced.
            timeline.add(Part.HOLD, "swept", "", action.handle() + " on " + action.engine());
            engines.releaseHold(server, action.handle(), true);
        }
    }

    /** Carries out actions; {@code listener} is told about reserve calls among them. */
    public void carryOut(List<HoldAction> actions, ReserveListener listener) {
        for (HoldAction action : actions) {
            BackendTable.Server server = backends.find(action.engine().server()).orElse(null);
            if (server == null) {
                ledger.onEngineGone(action.engine());
            } else if (action instanceof HoldAction.Reserve reserve) {
                reserve(server, reserve, listener);
            } else {
                release(server, action.handle());
            }
        }
    }

    /** The process of an engine has ended. */
    public void onEngineGone(BackendIncarnation engine) {
        ledger.onEngineGone(engine);
    }

    private void reserve(BackendTable.Server server, HoldAction.Reserve reserve, ReserveListener listener) {
        engines.takeHold(server, reserve.handle(), reserve.tokens(), reserve.timeLeftMs())
                .onSuccess(taken -> {
                    long nowNanos = System.nanoTime();
                    carryOut(listener.onReserved(reserve.handle(), nowNanos), listener);
                })
                .onFailure(cause -> {
                    // Without an answer the engine may have taken the memory; the step's timeout decides then.
                    if (cause instanceof EngineRefusal) {
                        carryOut(listener.onRefused(reserve.handle(), System.nanoTime()), listener);
                    }
                });
    }

    private void release(BackendTable.Server server, HoldHandle handle) {
        engines.releaseHold(server, handle, false).onSuccess(wasHeld -> ledger.onReleaseAnswered(handle, wasHeld));
    }
}
