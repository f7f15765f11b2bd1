package io.figspan.settings.gateway;

import io.figspan.core.id.ServiceId;

/** A service that a route forwards to, with its weight relative to the other services of the route. */
public record WeightedService(ServiceId service, int weight) {
    public WeightedService {
        weight = Math.max(0, weight);
    }
}
