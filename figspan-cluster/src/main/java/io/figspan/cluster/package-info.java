/** Peer protocols as state machines without I/O: membership, settings gossip and limit loans. */
package io.figspan.cluster;
