/** Rate limits divided over the home hosts of an organisation. */
package io.figspan.policy.limit;
