package io.figspan.policy.limit;

/**
 * Limit of one organisation over the whole fleet.
 *
 * @param tokensPerSecond tokens of work per second
 * @param burstSeconds seconds of the rate that may be used at once
 * @param share share of the load, which sets the number of home hosts
 */
public record OrganisationLimit(double tokensPerSecond, double burstSeconds, double share) {}
