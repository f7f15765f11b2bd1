package io.figspan.cluster.coldserver;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;

/** An action that {@link ColdServers} requests from its driver, which executes a list of actions in order. */
public sealed interface ColdAction {
    /** Sends the message to this host. */
    record SendTo(HostId host, PeerMessage.ColdServerUses message) implements ColdAction {}

    /** Sends the message to all other hosts. */
    record SendToAll(PeerMessage.ColdServerUses message) implements ColdAction {}

    /** A server has become cold and accepts this many requests a second for the remaining time. */
    record BecameCold(BackendIncarnation server, double requestsPerSecond, long remainingMs) implements ColdAction {}

    /** A server is no longer cold. This host has sent it {@code sentCount} requests in all its cold times. */
    record BecameWarm(BackendIncarnation server, double requestsPerSecond, long sentCount) implements ColdAction {}
}
