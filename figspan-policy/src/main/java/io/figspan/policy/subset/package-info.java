/** Choice of the engines that a host uses. */
package io.figspan.policy.subset;
