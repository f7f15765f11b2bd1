package io.figspan.cluster.loan;

import io.figspan.core.id.OrganisationId;

/** This host's shares of the organisations' rate limits and their use. */
public interface LimitShares {
    /** Share of the organisation's limit in tokens per second, without loans; 0 if this is not a home host. */
    double ownTokensPerSecond(OrganisationId organisation, long nowNanos);

    /** Recent use of the share by this host itself, in tokens per second. */
    double usedTokensPerSecond(OrganisationId organisation, long nowNanos);
}
