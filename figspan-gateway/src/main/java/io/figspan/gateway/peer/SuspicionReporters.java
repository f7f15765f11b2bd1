package io.figspan.gateway.peer;

import io.figspan.core.id.HostId;
import io.figspan.core.util.RendezvousHash;
import java.util.HashSet;
import java.util.Set;

/**
 * Selects the hosts that report silent hosts of their cell to the fleet: a few of those that still hear each other. A
 * host that hears hardly any other host is more likely to be partitioned itself. It performs no I/O.
 */
final class SuspicionReporters {
    /** Hosts of a cell that report; more than one, since datagrams are lost. */
    static final int REPORTERS = 3;

    /** Fewest other hosts that a reporter must hear. */
    static final int MIN_HEARD = 2;

    private static final String ORDER_KEY = "tellers";

    private SuspicionReporters() {}

    /**
     * Whether a host reports the silent hosts of its cell.
     *
     * @param heard the other hosts of the cell that this host hears
     */
    static boolean includes(HostId self, Set<HostId> heard) {
        if (heard.size() < MIN_HEARD) {
            return false;
        }
        Set<HostId> candidates = new HashSet<>(heard);
        candidates.add(self);
        return RendezvousHash.order(ORDER_KEY, candidates).stream()
                .limit(REPORTERS)
                .anyMatch(self::equals);
    }
}
