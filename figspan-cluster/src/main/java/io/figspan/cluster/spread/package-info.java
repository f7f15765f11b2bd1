/** Dissemination of settings versions between hosts by gossip and pulls. */
package io.figspan.cluster.spread;
