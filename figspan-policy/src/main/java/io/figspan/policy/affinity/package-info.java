/** Prefix-cache affinity by rendezvous hashing with bounded loads. */
package io.figspan.policy.affinity;
