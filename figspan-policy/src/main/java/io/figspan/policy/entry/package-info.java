/** Choice of the entry hosts that one organisation uses. */
package io.figspan.policy.entry;
