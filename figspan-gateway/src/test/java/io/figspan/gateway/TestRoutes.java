package io.figspan.gateway;

import io.figspan.core.id.ServiceId;
import io.figspan.settings.gateway.GatewaySettings;
import io.figspan.settings.gateway.RequestKind;
import io.figspan.settings.gateway.Route;
import io.figspan.settings.gateway.WeightedService;
import java.util.List;
import java.util.function.UnaryOperator;

/** Routes of the host {@code a.example} for tests, and changed copies of them. */
public final class TestRoutes {
    private TestRoutes() {}

    /** The same settings with changed routes. */
    static GatewaySettings withRoutes(GatewaySettings settings, UnaryOperator<Route> change) {
        return new GatewaySettings(
                settings.version(),
                settings.routes().stream().map(change).toList(),
                settings.services(),
                settings.callerLimits(),
                settings.access());
    }

    /** A route that differs from another one in its name, path, services and timeout. */
    public static Route copy(
            Route route, String name, String pathPrefix, List<WeightedService> services, long timeoutMs) {
        return new Route(
                name,
                route.hostName(),
                pathPrefix,
                route.kind(),
                timeoutMs,
                route.targetLatencyMs(),
                route.rank(),
                services,
                route.maxAttempts(),
                route.isPublic(),
                route.describesPrompt(),
                route.isResumable(),
                route.maxGapMs());
    }

    /** A route for streams that may not be resumed. */
    static Route onceOnly(String prefix, long timeoutMs) {
        List<WeightedService> services = List.of(new WeightedService(GatewayHarness.ENGINES, 1));
        return new Route(
                "once",
                "a.example",
                prefix,
                RequestKind.STREAM,
                timeoutMs,
                300,
                1,
                services,
                2,
                false,
                true,
                false,
                250);
    }

    static Route route(
            String name, String prefix, RequestKind kind, ServiceId service, long timeoutMs, boolean isPublic) {
        return new Route(
                name,
                "a.example",
                prefix,
                kind,
                timeoutMs,
                300,
                1,
                List.of(new WeightedService(service, 1)),
                2,
                isPublic,
                kind.isStreaming(),
                kind.isStreaming(),
                kind.isStreaming() ? 250 : 0);
    }
}
