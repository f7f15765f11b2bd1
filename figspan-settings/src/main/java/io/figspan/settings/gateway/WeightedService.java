package io.figspan.settings.gateway;

import io.figspan.core.id.ServiceId;

/** A service that a route leads to and its weight beside the route's other services. */
public record WeightedService(ServiceId service, int weight) {
    public WeightedService {
        weight = Math.max(0, weight);
    }
}
