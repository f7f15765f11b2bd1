package io.figspan.policy.placing;

import io.figspan.core.id.OrganisationId;

/**
 * An organisation is limited to its share of the engines from now on, or no longer.
 *
 * @param heldBack attempts to place a job that the limit has delayed, once it has ended
 * @param refused jobs that were displaced from the full queue, once it has ended
 */
public record ShareChange(OrganisationId organisation, boolean isLimited, long heldBack, long refused) {}
