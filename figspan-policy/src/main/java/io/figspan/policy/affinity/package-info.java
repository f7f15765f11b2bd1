/** Prefix affinity with bounded loads. */
package io.figspan.policy.affinity;
