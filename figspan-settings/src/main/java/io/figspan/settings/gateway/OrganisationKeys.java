package io.figspan.settings.gateway;

import io.figspan.core.id.OrganisationId;
import java.util.List;
import java.util.OptionalInt;

/**
 * The keys of one organisation.
 *
 * @param rank urgency of all its requests, 0 first, before the rank of the route; empty when the route's counts
 */
public record OrganisationKeys(OrganisationId id, List<String> keys, OptionalInt rank) {
    public OrganisationKeys {
        keys = List.copyOf(keys);
    }
}
