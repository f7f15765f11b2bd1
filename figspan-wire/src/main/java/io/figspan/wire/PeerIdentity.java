package io.figspan.wire;

import io.figspan.cluster.message.Peer;
import io.figspan.core.time.HybridClock;

/** Identity of this process in the peer protocol: its own peer record, the shared key, and its hybrid clock. */
public record PeerIdentity(Peer self, PeerKey key, HybridClock clock) {}
