package io.figspan.cluster.quarantine;

import io.figspan.core.id.BackendIncarnation;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** When this host learned of the latest crashes, so that a response of the same process can refute one. */
final class CrashedServers {
    /** Responses that come so soon after a crash may have been sent before it. */
    static final long IN_FLIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Shortest restart of a server; a response to a later request may come from its next process. */
    static final long MIN_RESTART_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_SERVERS = 256;

    private final Map<BackendIncarnation, Long> learnedNanos = new LinkedHashMap<>();

    /** This host observed a crash. An earlier one of the same process can't have been one. */
    void observed(BackendIncarnation server, long nowNanos) {
        learnedNanos.remove(server);
        reported(server, nowNanos);
    }

    /** Another host has reported a crash. */
    void reported(BackendIncarnation server, long nowNanos) {
        learnedNanos.putIfAbsent(server, nowNanos);
        if (learnedNanos.size() > MAX_SERVERS) {
            learnedNanos.remove(learnedNanos.keySet().iterator().next());
        }
    }

    /** Whether a response now, to a request sent at {@code sentNanos}, shows that the server has not crashed. */
    boolean isRefuted(BackendIncarnation server, long sentNanos, long nowNanos) {
        Long crashNanos = learnedNanos.get(server);
        if (crashNanos == null || nowNanos - crashNanos < IN_FLIGHT_NANOS) {
            return false;
        }
        boolean mayHaveRestarted = sentNanos - crashNanos >= 0 && nowNanos - crashNanos > MIN_RESTART_NANOS;
        return !mayHaveRestarted;
    }

    void remove(BackendIncarnation server) {
        learnedNanos.remove(server);
    }
}
