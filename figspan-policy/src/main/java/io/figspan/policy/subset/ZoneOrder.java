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
 * Orders candidates by rendezvous hashing, alternating between availability zones. The zones are themselves in
 * rendezvous order for the key, so that different keys start with different zones.
 */
public final class ZoneOrder {
    private ZoneOrder() {}

    /**
     * Returns all candidates in the order for {@code key}: the first of each zone, then the second of each zone, and so
     * on. The {@code toString()} of a candidate must identify it, because it is hashed.
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
                List<T> zoneCandidates = byZone.get(zone);
                if (rank < zoneCandidates.size()) {
                    ordered.add(zoneCandidates.get(rank));
                }
            }
        }
        return ordered;
    }
}
