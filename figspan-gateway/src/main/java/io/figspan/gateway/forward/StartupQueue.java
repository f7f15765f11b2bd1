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
 * Bounded queue for requests that arrive before the process knows the settings and the backend servers. A queued
 * request is forwarded as soon as they are known; a refused one costs its caller a retry and the time in Retry-After.
 * Not thread-safe.
 */
final class StartupQueue {
    /** Maximum number of queued requests; each holds its body in memory. */
    static final int MAX_WAITING = 256;

    /** Maximum time in the queue. Reading the settings takes a fraction of this; a store that takes longer is down. */
    static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Upper bound of the time until the next tick of the process, which removes the expired requests. */
    static final long EXPIRY_MARGIN_MS = 50;

    private final Queue<QueuedCall> queue = new ArrayDeque<>();

    /** A queued request. Once it is forwarded, it delegates to the call that forwards it. */
    static final class QueuedCall implements InFlightCall {
        final CallerRequest request;
        final ByteBuf body;
        final CallerExchange caller;
        final long arrivedNanos;
        private Optional<InFlightCall> forwardedCall = Optional.empty();
        private boolean callerDisconnected;

        QueuedCall(CallerRequest request, ByteBuf body, CallerExchange caller, long arrivedNanos) {
            this.request = request;
            this.body = body;
            this.caller = caller;
            this.arrivedNanos = arrivedNanos;
        }

        void setForwardedCall(Optional<InFlightCall> call) {
            forwardedCall = call;
        }

        @Override
        public void onCallerDisconnected() {
            callerDisconnected = true;
            forwardedCall.ifPresent(InFlightCall::onCallerDisconnected);
        }

        @Override
        public void onCallerWritabilityChanged(boolean writable) {
            forwardedCall.ifPresent(call -> call.onCallerWritabilityChanged(writable));
        }
    }

    /** Queues a request; empty if the queue is full. */
    Optional<QueuedCall> add(CallerRequest request, ByteBuf body, CallerExchange caller, long nowNanos) {
        if (isFull()) {
            return Optional.empty();
        }
        QueuedCall call = new QueuedCall(request, body, caller, nowNanos);
        queue.add(call);
        return Optional.of(call);
    }

    private boolean isFull() {
        return queue.size() >= MAX_WAITING;
    }

    /** Time until the oldest request has left at the latest; 0 if there is room already. */
    long timeUntilRoomMs(long nowNanos) {
        if (!isFull()) {
            return 0;
        }
        long remainingNanos = queue.peek().arrivedNanos + MAX_WAIT_NANOS - nowNanos;
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, remainingNanos)) + EXPIRY_MARGIN_MS;
    }

    /** Removes the requests whose callers are still connected. */
    List<QueuedCall> drain() {
        return drainWhile(call -> true);
    }

    /** Removes the requests that have been queued for too long. */
    List<QueuedCall> drainExpired(long nowNanos) {
        return drainWhile(call -> nowNanos - call.arrivedNanos >= MAX_WAIT_NANOS);
    }

    private List<QueuedCall> drainWhile(Predicate<QueuedCall> isDue) {
        List<QueuedCall> drained = new ArrayList<>();
        while (!queue.isEmpty() && isDue.test(queue.peek())) {
            QueuedCall call = queue.poll();
            if (call.callerDisconnected) {
                call.body.release();
            } else {
                drained.add(call);
            }
        }
        return drained;
    }
}
