/** Prompt scheduling on one host: rate limits, admission control, queueing, placement and engine priority. */
package io.figspan.policy.dispatch;
