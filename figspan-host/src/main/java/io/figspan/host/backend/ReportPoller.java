package io.figspan.host.backend;

import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.vertx.core.Vertx;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Asks those engines for a report that have not been heard from for a while. */
public final class ReportPoller {
    /** Reports ride on responses; an engine in use is heard from more often than this. */
    private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final long INTERVAL_MS = 250;

    private final BackendTable table;
    private final EngineClient engines;
    private final HoldDriver holds;
    private final Supplier<Map<HostId, HostIncarnation>> newest;

    /** {@code newest} gives the newest known process at each host seat. */
    public ReportPoller(
            BackendTable table, EngineClient engines, HoldDriver holds, Supplier<Map<HostId, HostIncarnation>> newest) {
        this.table = table;
        this.engines = engines;
        this.holds = holds;
        this.newest = newest;
    }

    public void start(Vertx vertx) {
        vertx.setPeriodic(INTERVAL_MS, id -> poll());
    }

    /** Polls the quiet engines once. */
    public void poll() {
        long nowNanos = System.nanoTime();
        table.refreshAges(nowNanos);
        for (BackendTable.Server server : table.engines()) {
            boolean quiet = server.heardAtNanos() == 0 || nowNanos - server.heardAtNanos() > QUIET_NANOS;
            if (quiet || server.isSuspect()) {
                engines.report(server)
                        .onSuccess(report -> holds.sweep(server, report.holds(), newest))
                        .onFailure(cause -> table.onFailure(server));
            }
        }
    }
}
