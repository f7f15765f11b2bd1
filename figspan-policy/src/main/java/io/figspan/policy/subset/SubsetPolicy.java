package io.figspan.policy.subset;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.HostId;
import java.util.Collection;
import java.util.List;

/**
 * Bounded subset of runners for each host, by rendezvous hashing over availability zones. A runner that leaves moves
 * only the hosts that used it, by one runner each.
 *
 * @param sizeRunners number of runners per host
 */
public record SubsetPolicy(int sizeRunners) {
    /** With 400 hosts and 630 runners, each runner is used by about 15 hosts. */
    public static final SubsetPolicy DEFAULT = new SubsetPolicy(24);

    public SubsetPolicy {
        if (sizeRunners < 1) {
            throw new FigspanException(ProblemKind.INVALID_VALUE, "subset size is below 1", Location.of("subset"));
        }
    }

    /** Runners for {@code host}, best first; all of them when there are no more than {@link #sizeRunners()}. */
    public List<EngineLocation> choose(HostId host, Collection<EngineLocation> runners) {
        List<EngineLocation> ordered = ZoneOrder.order(host.value(), runners, EngineLocation::zone);
        return List.copyOf(ordered.subList(0, Math.min(sizeRunners, ordered.size())));
    }
}
