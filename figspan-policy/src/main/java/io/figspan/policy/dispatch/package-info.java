/** The whole decision of one host on a prompt: limits, admission, queueing, placement and engine priority. */
package io.figspan.policy.dispatch;
