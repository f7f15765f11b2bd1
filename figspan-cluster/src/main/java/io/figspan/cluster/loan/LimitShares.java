package io.figspan.cluster.loan;

import io.figspan.core.id.OrganisationId;

/** The own shares of a host, as its limits know them. */
public interface LimitShares {
    /** Own share of the organisation's limit in tokens per second, without loans; 0 when this is no home host. */
    double ownTokensPerSecond(OrganisationId organisation, long nowNanos);

    /** What the host itself used of it lately, in tokens per second. */
    double usedTokensPerSecond(OrganisationId organisation, long nowNanos);
}
