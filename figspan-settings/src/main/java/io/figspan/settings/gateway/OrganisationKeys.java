package io.figspan.settings.gateway;

import io.figspan.core.id.OrganisationId;
import java.util.List;
import java.util.OptionalInt;

/**
 * The API keys of one organisation.
 *
 * @param rank priority of all its requests, 0 being the highest; overrides the rank of the route if present
 */
public record OrganisationKeys(OrganisationId id, List<String> keys, OptionalInt rank) {
    public OrganisationKeys {
        keys = List.copyOf(keys);
    }
}
