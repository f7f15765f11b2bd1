package io.figspan.gateway.forward;

import io.figspan.core.id.ServiceId;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.policy.drain.RequestProfile;
import io.figspan.settings.gateway.EngineProfile;
import io.figspan.settings.gateway.Route;
import io.figspan.settings.gateway.ServiceProfile;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Stream;

/**
 * Describes requests for the estimates of their duration.
 *
 * @param services the services of the settings in force
 */
record RequestProfiles(Map<ServiceId, ServiceProfile> services) {
    /** Time in milliseconds that the caller waits, at most the timeout of the route. */
    static long timeoutMs(Route route, CallerRequest request) {
        return Math.min(request.waitMs().orElse(route.timeoutMs()), route.timeoutMs());
    }

    RequestProfile of(Route route, ServiceId service, CallerRequest request) {
        Optional<EngineProfile> engine =
                Optional.ofNullable(services.get(service)).flatMap(ServiceProfile::engine);
        OptionalInt tokensPerEvent =
                engine.map(known -> OptionalInt.of(known.decodeStepsPerPass())).orElse(OptionalInt.empty());
        return new RequestProfile(service, route.kind(), request.prompt(), tokensPerEvent, timeoutMs(route, request));
    }

    /** What the request would be at each service that its route may choose. */
    Stream<RequestProfile> ofAllServices(Route route, CallerRequest request) {
        return route.services().stream()
                .filter(choice -> choice.weight() > 0)
                .map(choice -> of(route, choice.service(), request));
    }
}
