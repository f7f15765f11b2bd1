package io.figspan.gateway.forward;

import io.figspan.gateway.protocol.CallerRequest;
import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Requests that came in the first moments of the process, before it knew the settings and the backend servers. They
 * wait for them for a short time, since a caller that is turned away comes back later than that.
 */
final class StartupQueue {
    /** Most requests that wait; each costs its body's memory. */
    static final int MAX_WAITING = 256;

    /** Reading the settings takes a fraction of this; a store that needs longer is down. */
    static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final Queue<QueuedCall> waiting = new ArrayDeque<>();

    /** One request that waits, and then what became of it. */
    static final class QueuedCall implements InFlightCall {
        final CallerRequest request;
        final ByteBuf body;
        final CallerExchange caller;
        final long arrivedNanos;
        private Optional<InFlightCall> accepted = Optional.empty();
        private boolean left;

        QueuedCall(CallerRequest request, ByteBuf body, CallerExchange caller, long arrivedNanos) {
            this.request = request;
            this.body = body;
            this.caller = caller;
            this.arrivedNanos = arrivedNanos;
        }

        void acceptedAs(Optional<InFlightCall> call) {
            accepted = call;
        }

        @Override
        public void onCallerDisconnected() {
            left = true;
            accepted.ifPresent(InFlightCall::onCallerDisconnected);
        }

        @Override
        public void onCallerWritabilityChanged(boolean writable) {
            accepted.ifPresent(call -> call.onCallerWritabilityChanged(writable));
        }
    }

    /** Lets a request wait; empty when too many do. */
    Optional<QueuedCall> add(CallerRequest request, ByteBuf body, CallerExchange caller, long nowNanos) {
        if (waiting.size() >= MAX_WAITING) {
            return Optional.empty();
        }
        QueuedCall call = new QueuedCall(request, body, caller, nowNanos);
        waiting.add(call);
        return Optional.of(call);
    }

    /** Removes the requests whose callers are still there. */
    List<QueuedCall> takeAll() {
        return takeWhile(call -> true);
    }

    /** Removes the requests that have waited for too long. */
    List<QueuedCall> takeExpired(long nowNanos) {
        return takeWhile(call -> nowNanos - call.arrivedNanos >= MAX_WAIT_NANOS);
    }

    private List<QueuedCall> takeWhile(Predicate<QueuedCall> isDue) {
        List<QueuedCall> taken = new ArrayList<>();
        while (!waiting.isEmpty() && isDue.test(waiting.peek())) {
            QueuedCall call = waiting.poll();
            if (call.left) {
                call.body.release();
            } else {
                taken.add(call);
            }
        }
        return taken;
    }
}
