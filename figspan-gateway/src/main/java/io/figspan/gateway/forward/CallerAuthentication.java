package io.figspan.gateway.forward;

import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.policy.route.ApiKeyIndex;
import io.figspan.settings.gateway.CallerAccess;
import io.figspan.settings.gateway.OrganisationKeys;
import io.figspan.settings.gateway.Route;
import java.util.List;
import java.util.Optional;

/** Decides by the API keys in force who may send a request. */
final class CallerAuthentication {
    private CallerAccess access = CallerAccess.OPEN;
    private ApiKeyIndex keys = new ApiKeyIndex(List.of());

    /** From now on each request on a route that is not public needs a valid key, whatever the settings say. */
    void requireKeys() {
        access = access.requiresKey() ? access : CallerAccess.keyed(List.of());
    }

    /**
     * Applies the access of a newer version of the settings.
     *
     * @return the access that is in force now
     */
    CallerAccess apply(CallerAccess newer) {
        access = newer.succeeding(access);
        keys = new ApiKeyIndex(access.organisations());
        return access;
    }

    /** The organisation that has the key of a request; empty if there is none. */
    Optional<OrganisationKeys> organisationOf(CallerRequest request) {
        return request.key().flatMap(keys::find);
    }

    /** Whether a request with the key of this organisation, or without a valid key, may use a route. */
    boolean admits(Optional<OrganisationKeys> organisation, Route route) {
        return organisation.isPresent() || route.isPublic() || !access.requiresKey();
    }
}
