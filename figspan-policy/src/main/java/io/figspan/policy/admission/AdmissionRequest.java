package io.figspan.policy.admission;

import io.figspan.core.time.Deadline;

/**
 * A prompt that asks for admission.
 *
 * @param prefillTokens prompt tokens to process, without a cached prefix
 * @param outputTokens tokens to generate
 * @param aheadTokens prompt tokens that are processed before this prompt, on the chosen runner and in this host's queue
 * @param deadline time by which the last token must have been generated
 */
public record AdmissionRequest(long prefillTokens, long outputTokens, long aheadTokens, Deadline deadline) {}
