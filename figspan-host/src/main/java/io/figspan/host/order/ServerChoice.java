package io.figspan.host.order;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.ServiceId;
import io.figspan.host.backend.BackendTable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Chooses servers of a plain service: those that failed lately come last. */
final class ServerChoice {
    private static final long RECENT_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final BackendTable backends;
    private final RandomGenerator random;
    private final Map<BackendServerId, Long> failedAtNanos = new HashMap<>();

    ServerChoice(BackendTable backends, RandomGenerator random) {
        this.backends = backends;
        this.random = random;
    }

    /** A random server that was not tried yet, preferably one that did not fail lately. */
    Optional<BackendTable.Server> choose(ServiceId service, Set<BackendServerId> tried, long nowNanos) {
        List<BackendTable.Server> untried = untried(service, tried);
        List<BackendTable.Server> healthy = untried.stream()
                .filter(server -> !failedLately(server.id(), nowNanos))
                .toList();
        List<BackendTable.Server> candidates = healthy.isEmpty() ? untried : healthy;
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    boolean hasUntried(ServiceId service, Set<BackendServerId> tried) {
        return !untried(service, tried).isEmpty();
    }

    /** Notes a failed connection; bounded, because only servers of the table are noted. */
    void onFailure(BackendServerId server, long nowNanos) {
        failedAtNanos.keySet().removeIf(known -> backends.find(known).isEmpty());
        failedAtNanos.put(server, nowNanos);
    }

    private List<BackendTable.Server> untried(ServiceId service, Set<BackendServerId> tried) {
        return backends.servers(service).stream()
                .filter(server -> !tried.contains(server.id()))
                .toList();
    }

    private boolean failedLately(BackendServerId server, long nowNanos) {
        Long atNanos = failedAtNanos.get(server);
        return atNanos != null && nowNanos - atNanos < RECENT_FAILURE_NANOS;
    }
}
