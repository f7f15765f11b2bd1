/** Predicted times and refusals against a deadline. */
package io.figspan.policy.admission;
