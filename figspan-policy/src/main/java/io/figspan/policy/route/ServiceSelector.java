package io.figspan.policy.route;

import io.figspan.core.id.ServiceId;
import io.figspan.settings.gateway.Route;
import io.figspan.settings.gateway.WeightedService;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses one of a route's services at random by weight. */
public final class ServiceSelector {
    private ServiceSelector() {}

    /** The service of one request; empty when the route leads nowhere. */
    public static Optional<ServiceId> choose(Route route, RandomGenerator random) {
        int total = route.services().stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return Optional.empty();
        }
        int left = random.nextInt(total);
        for (WeightedService candidate : route.services()) {
            left -= candidate.weight();
            if (left < 0) {
                return Optional.of(candidate.service());
            }
        }
        return Optional.empty();
    }
}
