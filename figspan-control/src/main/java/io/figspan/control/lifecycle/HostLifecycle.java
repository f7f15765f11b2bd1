package io.figspan.control.lifecycle;

import io.figspan.core.chart.StateChart;
import io.figspan.core.error.Result;
import io.figspan.policy.drain.DrainPlan;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Lifecycle of a host process. On shutdown the host leaves the entry list, accepts work until every caller's cached
 * copy of the list has expired, and then finishes what is in flight. What can't end within the grace time gets its
 * final answer before the kill. Not thread-safe.
 */
public final class HostLifecycle {
    private static final StateChart<HostState, HostEvent> CHART =
            StateChart.load("/charts/host.toml", HostState.class, HostEvent.class);

    /** Two ticks further apart than this mean that the process was paused. */
    private static final long PAUSE_THRESHOLD_MS = 1_000;

    /** Time after a pause in which connections that queued up during it are still accepted. */
    private static final long POST_PAUSE_ACCEPT_MS = 1_000;

    private final long entryListMarginMs;
    private final long graceMs;
    private HostState state = CHART.initial();
    private long keepSeconds;
    private long shutdownNanos;
    private Optional<DrainPlan> drainPlan = Optional.empty();
    private long lastTickNanos;
    private long resumedNanos;

    /**
     * Creates the lifecycle of a process that has no settings yet.
     *
     * @param entryListMarginMs time after {@code keepSeconds} in which callers may still connect
     * @param graceMs time from the shutdown request to the kill of the process
     */
    public HostLifecycle(long entryListMarginMs, long graceMs) {
        this.entryListMarginMs = entryListMarginMs;
        this.graceMs = graceMs;
    }

    public void onSettingsReady() {
        transition(HostEvent.SETTINGS_READY);
    }

    /** Starts the shutdown; {@code newKeepSeconds} is the longest time for which callers cache an entry list. */
    public void onShutdown(long newKeepSeconds, long nowNanos) {
        if (CHART.changesState(state, HostEvent.SHUTDOWN)) {
            keepSeconds = newKeepSeconds;
            shutdownNanos = nowNanos;
            drainPlan = Optional.of(new DrainPlan(nowNanos, graceMs));
            lastTickNanos = nowNanos;
            resumedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(POST_PAUSE_ACCEPT_MS);
        }
        transition(HostEvent.SHUTDOWN);
    }

    /**
     * Applies the timeouts and returns the new state; must be called at least every {@value #PAUSE_THRESHOLD_MS} ms.
     *
     * @param inFlight number of requests and orders in flight
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
        if (drainPlan
                .filter(plan -> plan.isTimeForLastAnswers(inFlight, nowNanos))
                .isPresent()) {
            transition(HostEvent.LAST_ANSWERS_DUE);
        }
        if (inFlight == 0) {
            transition(HostEvent.IDLE);
        }
        if (mustExit(nowNanos)) {
            transition(HostEvent.LIMIT_REACHED);
        }
        return state;
    }

    /** Returns whether the grace time is over, but for the time that the exit takes. */
    public boolean mustExit(long nowNanos) {
        return drainPlan.filter(plan -> plan.mustExit(nowNanos)).isPresent();
    }

    public HostState state() {
        return state;
    }

    /** Returns whether the host includes itself in the entry list that it serves. */
    public boolean isListed() {
        return state == HostState.SERVING;
    }

    /**
     * Returns whether a request that may take this long can end in time. During a shutdown it has to end before the
     * last answers are written; its caller can use another host otherwise.
     *
     * @param inFlight number of requests and orders in flight
     */
    public boolean endsInTime(long boundMs, int inFlight, long nowNanos) {
        boolean exits = state == HostState.ENDING || state == HostState.STOPPED;
        return !exits
                && drainPlan.map(plan -> plan.fits(boundMs, inFlight, nowNanos)).orElse(true);
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
