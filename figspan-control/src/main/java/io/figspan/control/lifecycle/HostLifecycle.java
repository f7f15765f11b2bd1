package io.figspan.control.lifecycle;

import io.figspan.core.chart.StateChart;
import io.figspan.core.error.Result;
import java.util.concurrent.TimeUnit;

/**
 * Lifecycle of a host process. On shutdown the host leaves the entry list, accepts work until every caller's cached
 * copy of the list has expired, and then finishes what is in flight. Not thread-safe.
 */
public final class HostLifecycle {
    private static final StateChart<HostState, HostEvent> CHART =
            StateChart.load("/charts/host.toml", HostState.class, HostEvent.class);

    /** Two ticks further apart than this mean that the process was paused. */
    private static final long PAUSE_THRESHOLD_MS = 1_000;

    /** Time after a pause in which connections that queued up during it are still accepted. */
    private static final long POST_PAUSE_ACCEPT_MS = 1_000;

    private final long entryListMarginMs;
    private final long shutdownTimeoutMs;
    private HostState state = CHART.initial();
    private long keepSeconds;
    private long shutdownNanos;
    private long lastTickNanos;
    private long resumedNanos;

    /**
     * Creates the lifecycle of a process that has no settings yet.
     *
     * @param entryListMarginMs time after {@code keepSeconds} in which callers may still connect
     * @param shutdownTimeoutMs longest time from the shutdown request to the exit; longer than any request's deadline
     */
    public HostLifecycle(long entryListMarginMs, long shutdownTimeoutMs) {
        this.entryListMarginMs = entryListMarginMs;
        this.shutdownTimeoutMs = shutdownTimeoutMs;
    }

    public void onSettingsReady() {
        transition(HostEvent.SETTINGS_READY);
    }

    /** Starts the shutdown; {@code newKeepSeconds} is the longest time for which callers cache an entry list. */
    public void onShutdown(long newKeepSeconds, long nowNanos) {
        if (CHART.changesState(state, HostEvent.SHUTDOWN)) {
            keepSeconds = newKeepSeconds;
            shutdownNanos = nowNanos;
            lastTickNanos = nowNanos;
            resumedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(POST_PAUSE_ACCEPT_MS);
        }
        transition(HostEvent.SHUTDOWN);
    }

    /**
     * Applies the timeouts and returns the new state; must be called at least every {@value #PAUSE_THRESHOLD_MS} ms.
     *
     * @param inFlight number of requests in flight and of tickets that can still be executed
     */
    public HostState onTick(int inFlight, long nowNanos) {
        if (nowNanos - lastTickNanos > TimeUnit.MILLISECONDS.toNanos(PAUSE_THRESHOLD_MS)) {
            resumedNanos = nowNanos;
        }
        lastTickNanos = nowNanos;
        boolean postPauseAcceptOver = nowNanos - resumedNanos >= TimeUnit.MILLISECONDS.toNanos(POST_PAUSE_ACCEPT_MS);
        long sinceShutdownMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - shutdownNanos);
        if (state == HostState.UNLISTED
                && postPauseAcceptOver
                && sinceShutdownMs >= TimeUnit.SECONDS.toMillis(keepSeconds) + entryListMarginMs) {
            transition(HostEvent.LISTS_RAN_OUT);
        }
        if (state == HostState.DRAINING && inFlight == 0) {
            transition(HostEvent.IDLE);
        }
        if (state == HostState.DRAINING && sinceShutdownMs >= shutdownTimeoutMs) {
            transition(HostEvent.LIMIT_REACHED);
        }
        return state;
    }

    public HostState state() {
        return state;
    }

    /** Returns whether the host includes itself in the entry list that it serves. */
    public boolean isListed() {
        return state == HostState.SERVING;
    }

    /** Returns whether new requests are accepted. */
    public boolean takesNewWork() {
        return state == HostState.SERVING || state == HostState.UNLISTED;
    }

    private void transition(HostEvent event) {
        if (CHART.next(state, event) instanceof Result.Ok<HostState> next) {
            state = next.value();
        }
    }
}
