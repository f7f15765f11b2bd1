package io.figspan.policy.drain;

import io.figspan.core.id.ServiceId;
import io.figspan.policy.drain.DurationEstimate.Basis;
import io.figspan.policy.drain.SizedDurations.Bound;
import io.figspan.settings.gateway.RequestKind;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the duration of requests by the slowest of the latest ones of the same service, kind and size, and by the
 * tokens that the caller allows. A request of which nothing is known may take as long as its timeout: it is refused by
 * a stopping host, and another one serves it. Bounded; not thread-safe.
 */
public final class RequestDurations {
    /** Maximum number of pairs of a service and a kind; the one that was used longest ago is forgotten. */
    static final int MAX_SERVICES = 64;

    private final Map<Key, ServiceDurations> byService = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, ServiceDurations> eldest) {
            return size() > MAX_SERVICES;
        }
    };

    private record Key(ServiceId service, RequestKind kind) {
        static Key of(RequestProfile request) {
            return new Key(request.service(), request.kind());
        }
    }

    /** Records a request that was answered completely. */
    public void recordAnswered(RequestProfile request, RequestTiming timing) {
        byService
                .computeIfAbsent(Key.of(request), created -> new ServiceDurations())
                .add(request, timing);
    }

    /**
     * Records how long a request has lasted that has no complete answer: it goes on, or was given up. Requests of its
     * kind may take longer than that.
     */
    public void recordUnfinished(RequestProfile request, RequestTiming timing) {
        ServiceDurations known = byService.get(Key.of(request));
        if (known != null) {
            known.raise(request, timing);
        }
    }

    /** Longest time that such a request is expected to take. */
    public DurationEstimate estimate(RequestProfile request) {
        return Optional.ofNullable(byService.get(Key.of(request)))
                .flatMap(known -> known.bound(request).map(bound -> estimate(request, bound, known.unknownShare())))
                .orElseGet(() -> new DurationEstimate(request.timeoutMs(), Basis.NOTHING));
    }

    private static DurationEstimate estimate(RequestProfile request, Bound bound, double unknownShare) {
        double leastMs = request.timeoutMs() * unknownShare;
        double boundMs = Math.max(leastMs, bound.nanos() / TimeUnit.MILLISECONDS.toNanos(1));
        return new DurationEstimate(Math.min(request.timeoutMs(), (long) Math.ceil(boundMs)), bound.basis());
    }

    /** The time of {@link #estimate}. */
    public long expectedMs(RequestProfile request) {
        return estimate(request).expectedMs();
    }
}
