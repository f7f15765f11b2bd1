package io.figspan.policy.subset;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.util.RendezvousHash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Partitions the engines evenly among the hosts. A host prefers its home engines, because most of their load comes from
 * the host itself and is known without delay. This is only a preference: any host may use any engine.
 */
public final class HomeEngines {
    private static final String ORDER_KEY = "home-runners";

    private HomeEngines() {}

    /**
     * Returns the home engines of {@code self}; empty if {@code self} is not one of the hosts. With more hosts than
     * engines, several hosts share an engine; with fewer, each host has several. Hosts and engines are each put in a
     * fixed order and divided into equal slices, so that views that differ by one member differ only at the slice
     * boundaries.
     */
    public static Set<BackendServerId> choose(
            HostId self, Collection<HostId> hosts, Collection<BackendServerId> engines) {
        List<HostId> hostOrder = RendezvousHash.order(ORDER_KEY, hosts);
        List<BackendServerId> engineOrder = new ArrayList<>(RendezvousHash.order(ORDER_KEY, engines));
        int position = hostOrder.indexOf(self);
        Set<BackendServerId> homes = new HashSet<>();
        if (position < 0 || engineOrder.isEmpty()) {
            return homes;
        }
        long hostCount = hostOrder.size();
        long engineCount = engineOrder.size();
        long from = position * engineCount / hostCount;
        long to = Math.max(from + 1, (position + 1) * engineCount / hostCount);
        for (long index = from; index < to; index++) {
            homes.add(engineOrder.get((int) index));
        }
        return homes;
    }
}
