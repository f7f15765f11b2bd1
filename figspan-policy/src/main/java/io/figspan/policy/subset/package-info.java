/** Choice of the runners that one host uses. */
package io.figspan.policy.subset;
