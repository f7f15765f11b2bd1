package io.figspan.control.lifecycle;

import io.figspan.core.chart.StateChart;
import io.figspan.core.error.Result;
import java.util.concurrent.TimeUnit;

/**
 * Graceful shutdown of a host: it leaves the entry list first, keeps serving until every caller's copy of the list has
 * run out, then finishes what is in flight. Not safe for use by several threads at once.
 */
public final class HostLifecycle {
    private static final StateChart<HostState, HostEvent> CHART =
            StateChart.load("/charts/host.toml", HostState.class, HostEvent.class);

    /** A gap between two ticks that shows that the process was paused. */
    private static final long PAUSE_MS = 1_000;

    /** After a pause, connections that waited meanwhile are still accepted for this long. */
    private static final long AFTER_PAUSE_MS = 1_000;

    private final long listMarginMs;
    private final long limitMs;
    private HostState state = CHART.initial();
    private long keepSeconds;
    private long shutdownNanos;
    private long lastTickNanos;
    private long awakeSinceNanos;

    /**
     * @param listMarginMs time beyond {@code keepSeconds} in which callers may still arrive
     * @param limitMs longest time from the request for a shutdown to the exit; longer than any request's deadline
     */
    public HostLifecycle(long listMarginMs, long limitMs) {
        this.listMarginMs = listMarginMs;
        this.limitMs = limitMs;
    }

    public void onSettingsReady() {
        move(HostEvent.SETTINGS_READY);
    }

    /** Begins the shutdown; {@code keepSeconds} is the longest time for which a caller keeps an entry list. */
    public void onShutdown(long newKeepSeconds, long nowNanos) {
        if (CHART.changesState(state, HostEvent.SHUTDOWN)) {
            keepSeconds = newKeepSeconds;
            shutdownNanos = nowNanos;
            lastTickNanos = nowNanos;
            awakeSinceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(AFTER_PAUSE_MS);
        }
        move(HostEvent.SHUTDOWN);
    }

    /**
     * Applies the passing of time; called at least every {@value #PAUSE_MS} ms. {@code inFlight} counts requests and
     * executable tickets.
     */
    public HostState onTick(int inFlight, long nowNanos) {
        if (nowNanos - lastTickNanos > TimeUnit.MILLISECONDS.toNanos(PAUSE_MS)) {
            awakeSinceNanos = nowNanos;
        }
        lastTickNanos = nowNanos;
        boolean settled = nowNanos - awakeSinceNanos >= TimeUnit.MILLISECONDS.toNanos(AFTER_PAUSE_MS);
        long sinceMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - shutdownNanos);
        if (state == HostState.UNLISTED
                && settled
                && sinceMs >= TimeUnit.SECONDS.toMillis(keepSeconds) + listMarginMs) {
            move(HostEvent.LISTS_RAN_OUT);
        }
        if (state == HostState.DRAINING && inFlight == 0) {
            move(HostEvent.IDLE);
        }
        if (state == HostState.DRAINING && sinceMs >= limitMs) {
            move(HostEvent.LIMIT_REACHED);
        }
        return state;
    }

    public HostState state() {
        return state;
    }

    /** Tells whether the host belongs in the entry list that it hands out. */
    public boolean isListed() {
        return state == HostState.SERVING;
    }

    /** Tells whether a new request is accepted. */
    public boolean takesNewWork() {
        return state == HostState.SERVING || state == HostState.UNLISTED;
    }

    private void move(HostEvent event) {
        if (CHART.next(state, event) instanceof Result.Ok<HostState> next) {
            state = next.value();
        }
    }
}
