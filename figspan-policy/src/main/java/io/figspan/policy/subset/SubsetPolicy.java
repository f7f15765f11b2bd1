package io.figspan.policy.subset;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.HostId;
import java.util.Collection;
import java.util.List;

/**
 * Assigns each host a bounded subset of the engines by rendezvous hashing over availability zones. The removal of an
 * engine changes only the subsets that contain it, by one engine each.
 *
 * @param subsetSize number of engines per host, at least 1
 */
public record SubsetPolicy(int subsetSize) {
    /** With 400 hosts and 630 engines, each engine is used by about 15 hosts. */
    public static final SubsetPolicy DEFAULT = new SubsetPolicy(24);

    public SubsetPolicy {
        if (subsetSize < 1) {
            throw new FigspanException(
                    ProblemKind.INVALID_VALUE, "subset size must be at least 1", Location.of("subset"));
        }
    }

    /**
     * Returns the engines of {@code host} in order of preference; all engines if there are at most {@link
     * #subsetSize()}.
     */
    public List<EngineLocation> choose(HostId host, Collection<EngineLocation> engines) {
        List<EngineLocation> ordered = ZoneOrder.order(host.value(), engines, EngineLocation::zone);
        return List.copyOf(ordered.subList(0, Math.min(subsetSize, ordered.size())));
    }
}
