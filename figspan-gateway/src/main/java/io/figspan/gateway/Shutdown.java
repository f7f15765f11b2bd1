package io.figspan.gateway;

import io.figspan.core.event.Part;
import io.figspan.gateway.caller.CallerServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.peer.PeerTracker;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Graceful shutdown. Other hosts and the readiness check are notified at once. Callers that still connect because of a
 * cached directory response are served for a while; later connections are refused, and their callers use another host.
 * The process ends when no request is in progress, or shortly before it is killed.
 */
final class Shutdown {
    /**
     * Period in which new connections are served. Most callers cache a directory response for 1 s, some for 3 s; those
     * that connect in the last half second are refused before they send a request. The rest of the grace period is left
     * for the requests that were accepted last.
     */
    private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Time reserved for the exit of the process itself. */
    private static final long EXIT_MARGIN_MS = 400;

    private final EventLoop loop;
    private final DecisionLog log;
    private final CallerServer callers;
    private final PeerTracker peers;
    private final CountDownLatch done = new CountDownLatch(1);
    private long graceMs;
    private boolean begun;
    private boolean refusing;
    private long begunNanos;

    Shutdown(EventLoop loop, DecisionLog log, CallerServer callers, PeerTracker peers, long graceMs) {
        this.loop = loop;
        this.log = log;
        this.callers = callers;
        this.peers = peers;
        this.graceMs = graceMs;
    }

    boolean hasBegun() {
        return begun;
    }

    /** Sets the time from the request to stop until the process is killed; a shutdown in progress keeps its own. */
    void setGraceMs(long newGraceMs) {
        graceMs = newGraceMs;
    }

    CountDownLatch done() {
        return done;
    }

    void begin(long nowNanos) {
        if (begun) {
            return;
        }
        begun = true;
        begunNanos = nowNanos;
        log.info(Part.ENTRY, "stopping").number("busy", callers.busy()).write();
        peers.leave();
        callers.disableKeepAlive();
        var unused = loop.schedule(() -> finish("time is over"), graceMs - EXIT_MARGIN_MS, TimeUnit.MILLISECONDS);
    }

    void tick(long nowNanos) {
        if (!begun || nowNanos - begunNanos < DRAIN_NANOS) {
            return;
        }
        if (!refusing) {
            refusing = true;
            callers.refuseNew();
        }
        if (callers.busy() == 0) {
            finish("no request is in progress");
        }
    }

    private void finish(String reason) {
        if (done.getCount() > 0) {
            log.info(Part.ENTRY, "stopped")
                    .text("reason", reason)
                    .number("busy", callers.busy())
                    .write();
            done.countDown();
        }
    }
}
