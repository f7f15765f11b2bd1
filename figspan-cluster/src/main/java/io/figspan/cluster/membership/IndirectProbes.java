package io.figspan.cluster.membership;

import io.figspan.cluster.message.PeerAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Indirect probes that this process runs on behalf of other hosts, limited in number and by a deadline. */
final class IndirectProbes {
    /** Far above the requests that arrive in one probe interval; a request beyond it fails at once. */
    private static final int MAX_PENDING = 64;

    private final Map<Long, Pending> pendingByProbe = new HashMap<>();

    /** The requester and its probe number, which the answer repeats. */
    record Pending(PeerAddress requester, long requesterProbe, long deadlineNanos) {}

    /** Returns false when too many are in flight. */
    boolean add(long probe, Pending pending) {
        if (pendingByProbe.size() >= MAX_PENDING) {
            return false;
        }
        pendingByProbe.put(probe, pending);
        return true;
    }

    Optional<Pending> complete(long probe) {
        return Optional.ofNullable(pendingByProbe.remove(probe));
    }

    List<Pending> removeExpired(long nowNanos) {
        List<Pending> expired = new ArrayList<>();
        for (Iterator<Pending> iterator = pendingByProbe.values().iterator(); iterator.hasNext(); ) {
            Pending pending = iterator.next();
            if (nowNanos - pending.deadlineNanos() >= 0) {
                expired.add(pending);
                iterator.remove();
            }
        }
        return expired;
    }
}
