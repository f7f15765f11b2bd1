package io.figspan.settings.gateway;

import io.figspan.core.id.ServiceId;
import java.util.Optional;

/**
 * Settings that apply to all backend servers of one service.
 *
 * @param healthPath path of the health check; empty if there is none
 * @param maxConnections maximum number of connections to one backend server from all hosts together; 0 for no limit
 * @param coldMs time for which a backend server is cold after its start; 0 if servers of this service are never cold
 * @param coldRequestsPerSecond requests a second that a cold server tolerates from all hosts together; 0 for no limit
 * @param engine performance model of the servers; present only for model engines
 * @param prefixRetention how long the engines keep prefixes of prompts; empty if requests are placed regardless of them
 */
public record ServiceProfile(
        ServiceId id,
        String healthPath,
        int maxConnections,
        long coldMs,
        double coldRequestsPerSecond,
        Optional<EngineProfile> engine,
        Optional<PrefixRetention> prefixRetention) {
    /** Creates the profile of a service whose requests are placed regardless of prefixes. */
    public ServiceProfile(
            ServiceId id,
            String healthPath,
            int maxConnections,
            long coldMs,
            double coldRequestsPerSecond,
            Optional<EngineProfile> engine) {
        this(id, healthPath, maxConnections, coldMs, coldRequestsPerSecond, engine, Optional.empty());
    }

    /** Whether requests to cold servers of this service are limited. */
    public boolean limitsColdServers() {
        return coldMs > 0 && coldRequestsPerSecond > 0;
    }
}
