package io.figspan.gateway.peer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Schedules the next report of this host: once for all changes until then. All methods run on the event loop. */
final class ReportSchedule {
    private final EventLoop loop;
    private final Runnable report;
    private ScheduledFuture<?> scheduled;
    private long dueNanos;
    private long lastReportNanos;

    ReportSchedule(EventLoop loop, Runnable report) {
        this.loop = loop;
        this.report = report;
    }

    /** Reports after this delay at the latest. */
    void within(long delayMs) {
        long newDueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        if (scheduled != null && dueNanos - newDueNanos <= 0) {
            return;
        }
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        dueNanos = newDueNanos;
        scheduled = loop.schedule(this::run, delayMs, TimeUnit.MILLISECONDS);
    }

    private void run() {
        scheduled = null;
        lastReportNanos = System.nanoTime();
        report.run();
    }

    /** Time since the latest report. */
    long sinceReportNanos(long nowNanos) {
        return nowNanos - lastReportNanos;
    }
}
