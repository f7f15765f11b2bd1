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
 * Entry hosts of one organisation: a small stable subset by rendezvous hashing, round-robin over availability zones
 * (shuffle sharding), so that a misbehaving organisation reaches few of the hosts of another.
 */
public final class EntryList {
    /** Fewest hosts on a list, so that a caller has an address left after two failures. */
    public static final int MIN_HOSTS = 3;

    /** Room for growth of an organisation beyond its usual share of the load. */
    static final double HEADROOM = 1.5;

    private EntryList() {}

    /**
     * Number of hosts for an organisation: {@code clamp(ceil(share x hosts x 1.5), 3, hosts)}.
     *
     * @param share share of the load in the settings, 0 to 1
     */
    public static int size(double share, int hosts) {
        if (!(share >= 0 && share <= 1)) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "share " + share + " is not within 0 to 1", Location.of("entry list"));
        }
        int wanted = (int) Math.ceil(share * hosts * HEADROOM);
        return Math.min(hosts, Math.max(MIN_HOSTS, wanted));
    }

    /**
     * The hosts that one host names to its callers where a list has a limit. Each host keeps to a choice of its own, so
     * that callers of all hosts together reach every host, and a caller finds the same ones when it asks again.
     */
    public static List<HostId> choose(HostId naming, Collection<HostId> hosts, int maxHosts) {
        return RendezvousHash.order(naming.value(), hosts).stream()
                .limit(maxHosts)
                .toList();
    }

    /** The hosts for an organisation, best first. */
    public static List<EntryHost> choose(OrganisationId organisation, double share, Collection<EntryHost> hosts) {
        List<EntryHost> ordered = ZoneOrder.order(organisation.value(), hosts, EntryHost::zone);
        return List.copyOf(ordered.subList(0, size(share, ordered.size())));
    }
}
