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
 * Divides the runners evenly among the hosts. A host prefers its home runners, because what it has sent there itself is
 * most of their load and is known without a lag. Preference only: any host may use any runner.
 */
public final class HomeEngines {
    private static final String ORDER_KEY = "home-runners";

    private HomeEngines() {}

    /**
     * Runners that are homes of {@code self}. With more hosts than runners, several hosts share a home; with fewer,
     * each has several. Hosts and runners are put in one fixed order each and cut into equal slices, so views that
     * differ by one member differ only at the edges of the slices.
     */
    public static Set<BackendServerId> choose(
            HostId self, Collection<HostId> hosts, Collection<BackendServerId> runners) {
        List<HostId> hostOrder = RendezvousHash.order(ORDER_KEY, hosts);
        List<BackendServerId> runnerOrder = new ArrayList<>(RendezvousHash.order(ORDER_KEY, runners));
        int position = hostOrder.indexOf(self);
        Set<BackendServerId> homes = new HashSet<>();
        if (position < 0 || runnerOrder.isEmpty()) {
            return homes;
        }
        long hostCount = hostOrder.size();
        long runnerCount = runnerOrder.size();
        long from = position * runnerCount / hostCount;
        long to = Math.max(from + 1, (position + 1) * runnerCount / hostCount);
        for (long index = from; index < to; index++) {
            homes.add(runnerOrder.get((int) index));
        }
        return homes;
    }
}
