package io.figspan.cluster.coldserver;

import io.figspan.core.id.HostId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The hosts of the fleet, whether they can be reached or not. Hosts that are cut off from each other must agree on who
 * may use a cold server, so a host that is no longer live stays listed for a while.
 */
final class HostRoster {
    /** Retention of hosts that have left or failed; longer than the partitions of some minutes that occur. */
    static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** A host that has started knows the fleet when no further host has appeared for this long. */
    static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Bounds the table; far more than the hosts of a fleet. */
    private static final int MAX_HOSTS = 4_096;

    private final Map<HostId, Long> goneSinceNanos = new HashMap<>();
    private Set<HostId> live = Set.of();
    private Set<HostId> hosts = Set.of();
    private boolean knowsFleet;
    private boolean hasGrown;
    private long grownNanos;
    private boolean isSettled;

    /**
     * Replaces the live hosts.
     *
     * @param isFleetKnown whether most of the hosts that every host of the fleet contacts first are among them, so that
     *     they are not one side of a partition
     */
    void liveHostsChanged(Set<HostId> newLive, boolean isFleetKnown, long nowNanos) {
        for (HostId host : live) {
            if (!newLive.contains(host) && goneSinceNanos.size() < MAX_HOSTS) {
                goneSinceNanos.put(host, nowNanos);
            }
        }
        goneSinceNanos.keySet().removeAll(newLive);
        live = Set.copyOf(newLive);
        knowsFleet |= isFleetKnown;
        update(nowNanos);
    }

    private void update(long nowNanos) {
        Set<HostId> updated = new HashSet<>(live);
        updated.addAll(goneSinceNanos.keySet());
        if (!hasGrown || !hosts.containsAll(updated)) {
            hasGrown = true;
            grownNanos = nowNanos;
        }
        hosts = Set.copyOf(updated);
    }

    /** Removes the hosts whose retention has ended; returns whether there were any. */
    boolean expire(long nowNanos) {
        boolean hasExpired = goneSinceNanos.values().removeIf(since -> nowNanos - since >= RETENTION_NANOS);
        if (hasExpired) {
            update(nowNanos);
        }
        return hasExpired;
    }

    Set<HostId> hosts() {
        return hosts;
    }

    /** Whether this host has learned of the fleet since its start; stays true. */
    boolean isSettled(long nowNanos) {
        isSettled |= knowsFleet && nowNanos - grownNanos >= SETTLE_NANOS;
        return isSettled;
    }
}
