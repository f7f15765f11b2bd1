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
 */
public record ServiceProfile(
        ServiceId id,
        String healthPath,
        int maxConnections,
        long coldMs,
        double coldRequestsPerSecond,
        Optional<EngineProfile> engine) {
    /** Whether requests to cold servers of this service are limited. */
    public boolean limitsColdServers() {
        return coldMs > 0 && coldRequestsPerSecond > 0;
    }
}
