package io.figspan.settings.gateway;

import io.figspan.core.id.ServiceId;
import java.util.Optional;

/**
 * Settings that apply to all backend servers of one service.
 *
 * @param healthPath path of the health check; empty if there is none
 * @param maxConnections maximum number of connections to one backend server from all hosts together; 0 for no limit
 * @param engine performance model of the servers; present only for model engines
 */
public record ServiceProfile(ServiceId id, String healthPath, int maxConnections, Optional<EngineProfile> engine) {}
