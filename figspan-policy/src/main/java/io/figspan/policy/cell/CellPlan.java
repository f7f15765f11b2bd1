package io.figspan.policy.cell;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.util.RendezvousHash;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Partition of the hosts and engines of one service into cells. Each host places requests only on the engines of its
 * own cell and exchanges its placed work only with the hosts of that cell, so its traffic and computation grow with the
 * size of a cell instead of that of the fleet.
 *
 * <p>Hosts and engines are each sorted by a hash of their ids and cut into ranges of equal length, so that a member
 * that joins or leaves moves at most one other across each boundary. Every host computes the plan from its own view of
 * the members. Hosts with different views may place requests on the same engine without hearing of each other, which
 * only costs time. Instances are immutable.
 */
public final class CellPlan {
    /** As many engines as one host can track, and enough to prefill the longest prompts together. */
    static final int ENGINES_PER_CELL = 22;

    /** Minimum number of hosts of a cell, so that its engines stay in use when hosts fail. */
    static final int MIN_HOSTS_PER_CELL = 3;

    private static final String HOSTS_KEY = "hosts";
    private static final String ENGINES_KEY = "engines";

    private final int count;
    private final Map<HostId, Integer> cellOfHost;
    private final Map<BackendServerId, Integer> cellOfEngine;
    private final Map<Integer, Set<HostId>> hostsOfCell = new HashMap<>();

    private CellPlan(int count, Map<HostId, Integer> cellOfHost, Map<BackendServerId, Integer> cellOfEngine) {
        this.count = count;
        this.cellOfHost = cellOfHost;
        this.cellOfEngine = cellOfEngine;
        cellOfHost.forEach((host, cell) ->
                hostsOfCell.computeIfAbsent(cell, ignored -> new HashSet<>()).add(host));
    }

    /** Divides hosts and engines into cells; a fleet with few hosts or few engines is one cell. */
    public static CellPlan divide(Collection<HostId> hosts, Collection<BackendServerId> engines) {
        int count = countFor(hosts.size(), engines.size());
        return new CellPlan(count, partition(HOSTS_KEY, hosts, count), partition(ENGINES_KEY, engines, count));
    }

    static int countFor(int hosts, int engines) {
        long byEngines = Math.round((double) engines / ENGINES_PER_CELL);
        return (int) Math.max(1, Math.min(byEngines, hosts / MIN_HOSTS_PER_CELL));
    }

    private static <T> Map<T, Integer> partition(String key, Collection<T> members, int count) {
        List<T> ordered = count == 1 ? List.copyOf(members) : RendezvousHash.order(key, members);
        Map<T, Integer> cells = new HashMap<>();
        for (int index = 0; index < ordered.size(); index++) {
            cells.put(ordered.get(index), index * count / ordered.size());
        }
        return cells;
    }

    public int count() {
        return count;
    }

    /** Whether host and engine are in the same cell; false when either is unknown. */
    public boolean mayUse(HostId host, BackendServerId engine) {
        Integer cell = cellOfHost.get(host);
        return cell != null && cell.equals(cellOfEngine.get(engine));
    }

    /** Returns the hosts in the cell of a host, including itself; empty for an unknown host. */
    public Set<HostId> hostsInCellOf(HostId host) {
        return hostsOf(cellOfHost.get(host));
    }

    /** Returns the hosts that place requests on an engine; empty for an unknown engine. */
    public Set<HostId> hostsUsing(BackendServerId engine) {
        return hostsOf(cellOfEngine.get(engine));
    }

    private Set<HostId> hostsOf(Integer cell) {
        return Collections.unmodifiableSet(hostsOfCell.getOrDefault(cell, Set.of()));
    }
}
