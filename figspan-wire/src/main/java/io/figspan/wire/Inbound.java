package io.figspan.wire;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.time.HybridTimestamp;

/** A received message, its authenticated sender, and the link to answer on. */
public record Inbound(Peer from, HybridTimestamp timestamp, PeerMessage message, PeerLink link) {}
