/** Admission control by predicted latency and deadline. */
package io.figspan.policy.admission;
