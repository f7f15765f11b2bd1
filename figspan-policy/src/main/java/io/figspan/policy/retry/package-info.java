/** Retry budgets. */
package io.figspan.policy.retry;
