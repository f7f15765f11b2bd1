package io.figspan.policy.entry;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.util.RendezvousHash;
import io.figspan.policy.subset.ZoneOrder;
import java.util.Collection;
import java.util.List;

/**
 * Chooses the entry hosts of an organisation by shuffle sharding: a small, stable subset by rendezvous hashing that
 * alternates between availability zones. A misbehaving organisation therefore affects only few hosts of any other.
 */
public final class EntryList {
    /** Minimum number of hosts on a list, so that a caller has an address left after two host failures. */
    public static final int MIN_HOSTS = 3;

    /** Headroom for growth of an organisation beyond its configured share of the load. */
    static final double HEADROOM = 1.5;

    private EntryList() {}

    /**
     * Number of hosts for an organisation: {@code clamp(ceil(share x hosts x 1.5), 3, hosts)}.
     *
     * @param share configured share of the load, 0 to 1
     * @throws FigspanException if the share is out of range
     */
    public static int size(double share, int hosts) {
        if (!(share >= 0 && share <= 1)) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "share " + share + " is not between 0 and 1", Location.of("entry list"));
        }
        int uncappedSize = (int) Math.ceil(share * hosts * HEADROOM);
        return Math.min(hosts, Math.max(MIN_HOSTS, uncappedSize));
    }

    /**
     * Chooses up to {@code maxHosts} hosts that {@code advertisingHost} returns to its callers. The choice is stable
     * for each advertising host, and differs between hosts so that all hosts receive callers.
     */
    public static List<HostId> choose(HostId advertisingHost, Collection<HostId> hosts, int maxHosts) {
        return RendezvousHash.order(advertisingHost.value(), hosts).stream()
                .limit(maxHosts)
                .toList();
    }

    /** Chooses the hosts of an organisation, in order of preference. */
    public static List<EntryHost> choose(OrganisationId organisation, double share, Collection<EntryHost> hosts) {
        List<EntryHost> ordered = ZoneOrder.order(organisation.value(), hosts, EntryHost::zone);
        return List.copyOf(ordered.subList(0, size(share, ordered.size())));
    }
}
