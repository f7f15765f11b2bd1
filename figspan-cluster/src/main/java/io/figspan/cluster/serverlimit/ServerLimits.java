package io.figspan.cluster.serverlimit;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/** Decides which servers may get a request now, by the limits that they have named. Admits all yet. */
public final class ServerLimits {
    public ServerLimits(HostId self, Function<BackendIncarnation, Set<HostId>> hostsUsing, RandomGenerator random) {}

    /** Replaces the set of hosts that have reported lately. */
    public void reachableHostsChanged(Set<HostId> hosts) {}

    /** A server has answered, with the limit that it named. */
    public List<LimitAction> answered(BackendIncarnation server, OptionalDouble requestsPerSecond, long nowNanos) {
        return List.of();
    }

    /** Whether a request may be sent to the server now. */
    public boolean admits(BackendIncarnation server, long nowNanos) {
        return true;
    }

    /** A request is sent to the server. */
    public List<LimitAction> sent(BackendIncarnation server, long nowNanos) {
        return List.of();
    }

    /** Another host has sent what it knows. */
    public List<LimitAction> receive(HostIncarnation from, PeerMessage.ServerLimitUses message, long nowNanos) {
        return List.of();
    }

    /** Repeats what other hosts may have missed. */
    public List<LimitAction> tick(long nowNanos) {
        return List.of();
    }
}
