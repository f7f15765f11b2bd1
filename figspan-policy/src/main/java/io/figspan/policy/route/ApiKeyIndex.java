package io.figspan.policy.route;

import io.figspan.settings.gateway.OrganisationKeys;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Maps API keys to the organisations that own them. */
public final class ApiKeyIndex {
    private final Map<String, OrganisationKeys> byKey = new HashMap<>();

    public ApiKeyIndex(List<OrganisationKeys> organisations) {
        for (OrganisationKeys organisation : organisations) {
            organisation.keys().forEach(key -> byKey.put(key, organisation));
        }
    }

    public Optional<OrganisationKeys> find(String key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
