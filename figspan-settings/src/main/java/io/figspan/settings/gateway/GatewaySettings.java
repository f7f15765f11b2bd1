package io.figspan.settings.gateway;

import io.figspan.core.id.ServiceId;
import io.figspan.core.id.SettingsVersion;
import java.util.List;
import java.util.Map;

/**
 * One version of the gateway's settings.
 *
 * @param access which callers may send requests
 * @param rejectedEntries descriptions of the entries that are not part of the settings because they are invalid
 */
public record GatewaySettings(
        SettingsVersion version,
        List<Route> routes,
        Map<ServiceId, ServiceProfile> services,
        CallerLimits callerLimits,
        CallerAccess access,
        List<String> rejectedEntries) {
    public GatewaySettings {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        rejectedEntries = List.copyOf(rejectedEntries);
    }

    /** Settings without invalid entries. */
    public GatewaySettings(
            SettingsVersion version,
            List<Route> routes,
            Map<ServiceId, ServiceProfile> services,
            CallerLimits callerLimits,
            CallerAccess access) {
        this(version, routes, services, callerLimits, access, List.of());
    }

    public boolean requiresKeys() {
        return access.requiresKey();
    }
}
