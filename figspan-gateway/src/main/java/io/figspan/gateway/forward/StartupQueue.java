package io.figspan.gateway.forward;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Bounded queue for requests that arrive before the process knows the settings and the backend servers. A queued
 * request is forwarded as soon as they are known; a refused one costs its caller a retry and the time in Retry-After. A
 * request whose caller leaves is removed at once. Not thread-safe.
 */
final class StartupQueue {
    /** Maximum number of queued requests; their bodies are bounded by the budget of all bodies. */
    static final int MAX_WAITING = 256;

    /** Maximum time in the queue. Reading the settings takes a fraction of this; a store that takes longer is down. */
    static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Upper bound of the time until the next tick of the process, which removes the expired requests. */
    static final long EXPIRY_MARGIN_MS = 50;

    /** The queued requests, the oldest first. */
    private final Set<QueuedCall> queue = new LinkedHashSet<>();

    /** A queued request. Once it is forwarded, it delegates to the call that forwards it. */
    final class QueuedCall implements InFlightCall {
        final ReceivedRequest request;
        final CallerExchange caller;
        final long arrivedNanos;
        private Optional<InFlightCall> forwardedCall = Optional.empty();

        private QueuedCall(ReceivedRequest request, CallerExchange caller, long arrivedNanos) {
            this.request = request;
            this.caller = caller;
            this.arrivedNanos = arrivedNanos;
        }

        void setForwardedCall(Optional<InFlightCall> call) {
            forwardedCall = call;
        }

        @Override
        public void onCallerDisconnected() {
            if (queue.remove(this)) {
                request.release();
            }
            forwardedCall.ifPresent(InFlightCall::onCallerDisconnected);
        }

        @Override
        public void onCallerWritabilityChanged(boolean writable) {
            forwardedCall.ifPresent(call -> call.onCallerWritabilityChanged(writable));
        }
    }

    /** Queues a request; empty if the queue is full. */
    Optional<QueuedCall> add(ReceivedRequest request, CallerExchange caller, long nowNanos) {
        if (isFull()) {
            return Optional.empty();
        }
        QueuedCall call = new QueuedCall(request, caller, nowNanos);
        queue.add(call);
        return Optional.of(call);
    }

    int size() {
        return queue.size();
    }

    private boolean isFull() {
        return queue.size() >= MAX_WAITING;
    }

    /** Time until there is room for another request at the latest; 0 if there is room already. */
    long timeUntilRoomMs(long nowNanos) {
        return isFull() ? timeUntilOldestLeavesMs(nowNanos) : 0;
    }

    /** Time until the oldest request has left at the latest, and its memory is free; 0 if none is queued. */
    long timeUntilOldestLeavesMs(long nowNanos) {
        if (queue.isEmpty()) {
            return 0;
        }
        long remainingNanos = queue.iterator().next().arrivedNanos + MAX_WAIT_NANOS - nowNanos;
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, remainingNanos)) + EXPIRY_MARGIN_MS;
    }

    /** Removes all requests. */
    List<QueuedCall> drain() {
        return drainWhile(call -> true);
    }

    /** Removes the requests that have been queued for too long. */
    List<QueuedCall> drainExpired(long nowNanos) {
        return drainWhile(call -> nowNanos - call.arrivedNanos >= MAX_WAIT_NANOS);
    }

    private List<QueuedCall> drainWhile(Predicate<QueuedCall> isDue) {
        List<QueuedCall> drained = new ArrayList<>();
        for (QueuedCall call : queue) {
            if (!isDue.test(call)) {
                break;
            }
            drained.add(call);
        }
        drained.forEach(queue::remove);
        return drained;
    }
}
