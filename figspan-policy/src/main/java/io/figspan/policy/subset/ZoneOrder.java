package io.figspan.policy.subset;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.util.RendezvousHash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Rendezvous order that takes candidates round-robin over availability zones. The zones themselves are in rendezvous
 * order of the key, so that no zone is first for all keys.
 */
public final class ZoneOrder {
    private ZoneOrder() {}

    /**
     * Returns all candidates in the order of {@code key}: the best of each zone, then the second of each zone, and so
     * on. The text form of a candidate must identify it.
     */
    public static <T> List<T> order(
            String key, Collection<T> candidates, Function<? super T, AvailabilityZoneId> zoneOf) {
        Map<AvailabilityZoneId, List<T>> byZone = new TreeMap<>();
        for (T candidate : RendezvousHash.order(key, candidates)) {
            byZone.computeIfAbsent(zoneOf.apply(candidate), zone -> new ArrayList<>())
                    .add(candidate);
        }
        List<AvailabilityZoneId> zones = RendezvousHash.order(key, byZone.keySet());
        List<T> ordered = new ArrayList<>(candidates.size());
        for (int rank = 0; ordered.size() < candidates.size(); rank++) {
            for (AvailabilityZoneId zone : zones) {
                List<T> ofZone = byZone.get(zone);
                if (rank < ofZone.size()) {
                    ordered.add(ofZone.get(rank));
                }
            }
        }
        return ordered;
    }
}
