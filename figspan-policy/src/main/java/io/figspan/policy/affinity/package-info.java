/** Prefix-cache affinity: weighed for each request, and by rendezvous hashing with bounded loads. */
package io.figspan.policy.affinity;
