/** Rate limits of organisations, divided among their home hosts. */
package io.figspan.policy.limit;
