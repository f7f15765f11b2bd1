package io.figspan.policy.admission;

import io.figspan.core.time.Deadline;

/**
 * Input of admission control for one prompt.
 *
 * @param prefillTokens prompt tokens to prefill, excluding a cached prefix
 * @param outputTokens maximum number of tokens to generate
 * @param aheadTokens prompt tokens that are prefilled before this prompt, on the chosen engine and in this host's queue
 * @param deadline time by which the last token must have been generated
 */
public record AdmissionRequest(long prefillTokens, long outputTokens, long aheadTokens, Deadline deadline) {}
