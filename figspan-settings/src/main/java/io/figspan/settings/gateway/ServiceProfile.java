package io.figspan.settings.gateway;

import io.figspan.core.id.ServiceId;
import java.util.Optional;

/**
 * What is set for all backend servers of one service.
 *
 * @param healthPath path of the health check; empty when there is none
 * @param maxConnections most connections to one backend server from all hosts together; 0 when there is no limit
 * @param engine how a server works, when it is a model engine
 */
public record ServiceProfile(ServiceId id, String healthPath, int maxConnections, Optional<EngineProfile> engine) {}
