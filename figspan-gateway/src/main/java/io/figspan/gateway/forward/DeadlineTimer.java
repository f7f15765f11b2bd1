package io.figspan.gateway.forward;

import io.figspan.core.time.Deadline;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Timer that runs an action on the event loop when the deadline of a request has passed. */
final class DeadlineTimer {
    private final EventLoop loop;
    private final Deadline deadline;
    private ScheduledFuture<?> scheduled;

    DeadlineTimer(EventLoop loop, Deadline deadline) {
        this.loop = loop;
        this.deadline = deadline;
    }

    /** Schedules an action. The one before must have run or been cancelled. */
    void start(Runnable action, long nowNanos) {
        long remainingNanos = Math.max(0, deadline.atNanos() - nowNanos);
        scheduled = loop.schedule(() -> startAfterNextRead(action), remainingNanos, TimeUnit.NANOSECONDS);
    }

    /** The event loop may be late, so it reads first what servers have sent in time. */
    private void startAfterNextRead(Runnable action) {
        scheduled = loop.schedule(action, 1, TimeUnit.NANOSECONDS);
    }

    void cancel() {
        scheduled.cancel(false);
    }
}
