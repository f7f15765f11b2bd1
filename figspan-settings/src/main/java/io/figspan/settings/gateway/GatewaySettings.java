package io.figspan.settings.gateway;

import io.figspan.core.id.ServiceId;
import io.figspan.core.id.SettingsVersion;
import java.util.List;
import java.util.Map;

/**
 * One version of the gateway's settings.
 *
 * @param organisations the organisations that may send requests; if empty, requests need no API key
 */
public record GatewaySettings(
        SettingsVersion version,
        List<Route> routes,
        Map<ServiceId, ServiceProfile> services,
        CallerLimits callerLimits,
        List<OrganisationKeys> organisations) {
    public GatewaySettings {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        organisations = List.copyOf(organisations);
    }

    public boolean requiresKeys() {
        return !organisations.isEmpty();
    }
}
