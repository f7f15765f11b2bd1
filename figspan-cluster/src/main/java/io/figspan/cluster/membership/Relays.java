package io.figspan.cluster.membership;

import io.figspan.cluster.message.PeerAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Probes that this process makes for others, bounded in number and time. */
final class Relays {
    /** Far more than the probes that others ask for in one interval; further ones are refused at once. */
    private static final int MAX_RELAYS = 64;

    private final Map<Long, Relay> relays = new HashMap<>();

    /** Who asked, with the number that the answer repeats. */
    record Relay(PeerAddress requester, long requesterProbe, long deadlineNanos) {}

    boolean add(long probe, Relay relay) {
        if (relays.size() >= MAX_RELAYS) {
            return false;
        }
        relays.put(probe, relay);
        return true;
    }

    Optional<Relay> complete(long probe) {
        return Optional.ofNullable(relays.remove(probe));
    }

    List<Relay> removeExpired(long nowNanos) {
        List<Relay> expired = new ArrayList<>();
        for (Iterator<Relay> iterator = relays.values().iterator(); iterator.hasNext(); ) {
            Relay relay = iterator.next();
            if (nowNanos - relay.deadlineNanos() >= 0) {
                expired.add(relay);
                iterator.remove();
            }
        }
        return expired;
    }
}
