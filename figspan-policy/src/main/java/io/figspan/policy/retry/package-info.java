/** Retry budget. */
package io.figspan.policy.retry;
