package io.figspan.gateway;

import io.figspan.core.event.Part;
import io.figspan.gateway.caller.CallerServer;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.peer.Peers;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A planned stop: the other hosts and the readiness check hear of it at once, callers that still come are served for
 * as long as they may keep an old answer of the directory, later ones are sent elsewhere, and the process ends when
 * no request is in progress, or shortly before it is killed.
 */
final class Shutdown {
    /** Three times the time for which callers keep the directory's answer; some keep it for so long. */
    private static final long SERVE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Time that is left for the end of the process itself. */
    private static final long END_MARGIN_MS = 400;

    private final EventLoop loop;
    private final DecisionLog log;
    private final CallerServer callers;
    private final Peers peers;
    private final CountDownLatch done = new CountDownLatch(1);
    private long shutdownGraceMs;
    private boolean begun;
    private boolean refusing;
    private long begunNanos;

    Shutdown(EventLoop loop, DecisionLog log, CallerServer callers, Peers peers, long shutdownGraceMs) {
        this.loop = loop;
        this.log = log;
        this.callers = callers;
        this.peers = peers;
        this.shutdownGraceMs = shutdownGraceMs;
    }

    boolean hasBegun() {
        return begun;
    }

    /** Takes another time from the request to stop until the process is killed; a stop in progress keeps its own. */
    void setGraceMs(long newStopMs) {
        shutdownGraceMs = newStopMs;
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
        var unused = loop.schedule(() -> finish("time is over"), shutdownGraceMs - END_MARGIN_MS, TimeUnit.MILLISECONDS);
    }

    void tick(long nowNanos) {
        if (!begun || nowNanos - begunNanos < SERVE_NANOS) {
            return;
        }
        if (!refusing) {
            refusing = true;
            callers.refuseNew();
        }
        if (callers.busy() == 0) {
            finish("nothing is in progress");
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
