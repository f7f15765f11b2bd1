/** Choice of the entry hosts of an organisation. */
package io.figspan.policy.entry;
