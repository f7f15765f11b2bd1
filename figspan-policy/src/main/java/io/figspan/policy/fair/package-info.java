/** Weighted fair queueing between organisations. */
package io.figspan.policy.fair;
