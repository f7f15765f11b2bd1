package io.figspan.gateway.peer;

import io.figspan.core.id.HostId;
import io.figspan.core.util.RendezvousHash;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides which hosts tell the fleet that others of their cell fell silent: a few of those that still hear each other.
 * A host that hears hardly anybody is more likely to be cut off itself. It is pure.
 */
final class SuspicionReporters {
    /** Hosts of a cell that tell; more than one, since datagrams are lost. */
    static final int TELLERS = 3;

    /** Fewest others that a host must hear. */
    static final int MIN_AUDIBLE = 2;

    private static final String ORDER_KEY = "tellers";

    private SuspicionReporters() {}

    /**
     * Whether a host tells of the silent ones.
     *
     * @param audible the other hosts of the cell that are heard
     */
    static boolean tells(HostId self, Set<HostId> audible) {
        if (audible.size() < MIN_AUDIBLE) {
            return false;
        }
        Set<HostId> hearing = new HashSet<>(audible);
        hearing.add(self);
        return RendezvousHash.order(ORDER_KEY, hearing).stream().limit(TELLERS).anyMatch(self::equals);
    }
}
