package io.figspan.wire;

import io.figspan.cluster.message.Peer;
import io.figspan.core.time.HybridClock;

/** What one process says about itself on the wire, the key that it shares with the others, and its clock. */
public record PeerIdentity(Peer self, PeerKey key, HybridClock clock) {}
