package io.figspan.policy.route;

import io.figspan.core.id.ServiceId;
import io.figspan.settings.gateway.Route;
import io.figspan.settings.gateway.WeightedService;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects one of the services of a route by weighted random choice. */
public final class ServiceSelector {
    private ServiceSelector() {}

    /** Returns the service for one request; empty if no service of the route has a positive weight. */
    public static Optional<ServiceId> choose(Route route, RandomGenerator random) {
        int total = route.services().stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return Optional.empty();
        }
        int remaining = random.nextInt(total);
        for (WeightedService candidate : route.services()) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return Optional.of(candidate.service());
            }
        }
        return Optional.empty();
    }
}
