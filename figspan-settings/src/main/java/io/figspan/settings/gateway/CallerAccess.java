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

    /**
     * The access by this version of the settings after an earlier one. Access with keys never becomes open: a version
     * in which the keys are missing has no valid key.
     */
    CallerAccess succeeding(CallerAccess earlier);

    /** The organisations with API keys. */
    List<OrganisationKeys> organisations();

    /** Number of API keys. */
    int keyCount();

    /** Requests need no API key. */
    record Open() implements CallerAccess {
        @Override
        public boolean requiresKey() {
            return false;
        }

        @Override
        public CallerAccess succeeding(CallerAccess earlier) {
            return earlier.requiresKey() ? keyed(List.of()) : this;
        }

        @Override
        public List<OrganisationKeys> organisations() {
            return List.of();
        }

        @Override
        public int keyCount() {
            return 0;
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

        @Override
        public CallerAccess succeeding(CallerAccess earlier) {
            return this;
        }

        @Override
        public int keyCount() {
            return organisations.stream()
                    .mapToInt(organisation -> organisation.keys().size())
                    .sum();
        }
    }
}
