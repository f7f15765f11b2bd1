package io.figspan.policy.limit;

/**
 * Fleet-wide rate limit of one organisation.
 *
 * @param tokensPerSecond tokens of work per second
 * @param burstSeconds burst size, in seconds of the rate
 * @param share configured share of the load, 0 to 1, which determines the number of home hosts
 */
public record OrganisationLimit(double tokensPerSecond, double burstSeconds, double share) {}
