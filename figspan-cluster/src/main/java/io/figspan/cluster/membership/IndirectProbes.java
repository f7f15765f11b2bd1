package io.figspan.cluster.membership;

import io.figspan.cluster.message.PeerAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Probes that this process makes for others, bounded in number and time. */
final class IndirectProbes {
    /** Far more than the probes that others ask for in one interval; further ones are refused at once. */
    private static final int MAX_RELAYS = 64;

    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();

    /** Who asked, with the number that the answer repeats. */
    record IndirectProbe(PeerAddress requester, long requesterProbe, long deadlineNanos) {}

    boolean add(long probe, IndirectProbe relay) {
        if (indirectProbes.size() >= MAX_RELAYS) {
            return false;
        }
        indirectProbes.put(probe, relay);
        return true;
    }

    Optional<IndirectProbe> complete(long probe) {
        return Optional.ofNullable(indirectProbes.remove(probe));
    }

    List<IndirectProbe> removeExpired(long nowNanos) {
        List<IndirectProbe> expired = new ArrayList<>();
        for (Iterator<IndirectProbe> iterator = indirectProbes.values().iterator(); iterator.hasNext(); ) {
            IndirectProbe relay = iterator.next();
            if (nowNanos - relay.deadlineNanos() >= 0) {
                expired.add(relay);
                iterator.remove();
            }
        }
        return expired;
    }
}
