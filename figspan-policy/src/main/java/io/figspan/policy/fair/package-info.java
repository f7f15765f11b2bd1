/** Weighted fair queueing by organisation. */
package io.figspan.policy.fair;
