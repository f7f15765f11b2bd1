package io.figspan.gateway;

import io.figspan.core.event.Part;
import io.figspan.gateway.caller.CallerServer;
import io.figspan.gateway.forward.DrainControl.EndedRequests;
import io.figspan.gateway.forward.Forwarder;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.policy.drain.DrainPlan;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;

/**
 * Planned stop of this host. Other hosts and the readiness check are notified at once. Requests that arrive are served
 * while they can end in time; the others are refused at once, and their callers use another host. Requests in progress
 * that can't end are answered before the process is killed. As soon as all answers are written, the connections are
 * closed, and whatever still arrives on them is refused; the process ends when none is left.
 *
 * <p>Each decision is made for the time at which it is made, so that a process that was paused, and whose timers come
 * late, accepts nothing that it can't answer. Confined to the event loop, except for {@link #done()} and {@link
 * #graceMs()}.
 */
final class Shutdown {
    private final DecisionLog log;
    private final CallerServer callers;
    private final Forwarder forwarder;
    private final Runnable leaveFleet;
    private final LongSupplier openHolds;
    private final CountDownLatch done = new CountDownLatch(1);
    private volatile long graceMs;
    private DrainPlan plan;
    private OptionalLong stoppedAcceptingNanos = OptionalLong.empty();
    private boolean haveLastAnswersBegun;
    private boolean closing;
    private boolean isIdle;
    private long idleSinceNanos;

    /**
     * Creates the shutdown of a host.
     *
     * @param leaveFleet notifies the other hosts
     * @param openHolds number of holds of memory at engines that are not released yet
     */
    Shutdown(
            DecisionLog log,
            CallerServer callers,
            Forwarder forwarder,
            Runnable leaveFleet,
            LongSupplier openHolds,
            long graceMs) {
        this.log = log;
        this.callers = callers;
        this.forwarder = forwarder;
        this.leaveFleet = leaveFleet;
        this.openHolds = openHolds;
        this.graceMs = graceMs;
    }

    boolean hasBegun() {
        return plan != null;
    }

    /** Sets the time from the request to stop until the process is killed; a shutdown in progress keeps its own. */
    void setGraceMs(long newGraceMs) {
        if (!hasBegun()) {
            graceMs = newGraceMs;
        }
    }

    /** Time from the request to stop until the process is killed. */
    long graceMs() {
        return graceMs;
    }

    CountDownLatch done() {
        return done;
    }

    /** Begins the shutdown; does nothing if it has begun already. */
    void begin(long nowNanos) {
        if (hasBegun()) {
            return;
        }
        plan = new DrainPlan(nowNanos, graceMs);
        log.lifecycle(Part.ENTRY, "stopping")
                .number("busy", callers.busy())
                .number("graceMs", graceMs)
                .write();
        leaveFleet.run();
        callers.disableKeepAlive();
        forwarder.beginDrain(plan);
        tick(nowNanos);
    }

    void tick(long nowNanos) {
        if (!hasBegun() || done.getCount() == 0) {
            return;
        }
        long unfinished = callers.unfinished();
        forwarder.endCallsOutOfTime(unfinished, nowNanos);
        callers.refuseIncompleteOutOfTime(nowNanos);
        if (stoppedAcceptingNanos.isEmpty() && !plan.acceptsConnections(nowNanos)) {
            stoppedAcceptingNanos = OptionalLong.of(nowNanos);
            callers.stopAccepting();
        }
        if (!haveLastAnswersBegun && plan.isTimeForLastAnswers(unfinished, nowNanos)) {
            giveLastAnswers(nowNanos);
        }
        if (plan.mustExit(nowNanos)) {
            finish("time is over");
        } else if (closing) {
            finishIfClosed();
        } else if (haveLastRequestsArrived(nowNanos)) {
            closeIfIdle(nowNanos);
        }
    }

    private boolean haveLastRequestsArrived(long nowNanos) {
        return stoppedAcceptingNanos.isPresent()
                && plan.haveLastRequestsArrived(stoppedAcceptingNanos.getAsLong(), nowNanos);
    }

    private void giveLastAnswers(long nowNanos) {
        haveLastAnswersBegun = true;
        forwarder.endCallsForShutdown(nowNanos);
        callers.refuseIncompleteOutOfTime(nowNanos);
        callers.refuseIncomplete();
    }

    private void closeIfIdle(long nowNanos) {
        boolean wasIdle = isIdle;
        isIdle = callers.unfinished() == 0;
        if (!isIdle) {
            return;
        }
        if (!wasIdle) {
            idleSinceNanos = nowNanos;
        }
        if (openHolds.getAsLong() == 0 || DrainPlan.hasWaitedForReleases(idleSinceNanos, nowNanos)) {
            closing = true;
            forwarder.refuseArrivals();
            callers.closeIdle();
        }
    }

    /** A request that was on its way when its connection was found idle is refused before the process ends. */
    private void finishIfClosed() {
        if (callers.openConnections() == 0) {
            finish("no request is in progress");
        } else {
            callers.closeIdle();
        }
    }

    private void finish(String reason) {
        EndedRequests refused = forwarder.drain().refused();
        EndedRequests interrupted = forwarder.drain().interrupted();
        log.lifecycle(Part.ENTRY, "stopped")
                .text("reason", reason)
                .number("busy", callers.busy())
                .number("openHolds", openHolds.getAsLong())
                .number("refused", refused.count())
                .text("refusedRequests", refused.ids())
                .number("interrupted", interrupted.count())
                .text("interruptedRequests", interrupted.ids())
                .write();
        done.countDown();
    }
}
