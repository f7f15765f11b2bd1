package io.figspan.settings.gateway;

import java.util.List;

/**
 * Who may send requests. The two cases are types of their own, so that a list of organisations that has become empty is
 * never read as "no key needed".
 */
public sealed interface CallerAccess {
    /** Access without API keys. */
    CallerAccess OPEN = new Open();

    /** Access for callers with an API key of one of the organisations. */
    static CallerAccess keyed(List<OrganisationKeys> organisations) {
        return new Keyed(organisations);
    }

    /** Whether a request on a route that is not public needs a valid API key. */
    boolean requiresKey();

    /** The organisations with API keys. */
    List<OrganisationKeys> organisations();

    /** Requests need no API key. */
    record Open() implements CallerAccess {
        @Override
        public boolean requiresKey() {
            return false;
        }

        @Override
        public List<OrganisationKeys> organisations() {
            return List.of();
        }
    }

    /** Requests need an API key. If there are no organisations, no key is valid. */
    record Keyed(List<OrganisationKeys> organisations) implements CallerAccess {
        public Keyed {
            organisations = List.copyOf(organisations);
        }

        @Override
        public boolean requiresKey() {
            return true;
        }
    }
}
