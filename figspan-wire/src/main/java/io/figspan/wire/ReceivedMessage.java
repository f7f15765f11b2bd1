package io.figspan.wire;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.time.HybridTimestamp;

/** A received message with its authenticated sender, its send time, and the link to answer on. */
public record ReceivedMessage(Peer from, HybridTimestamp timestamp, PeerMessage message, PeerLink link) {}
