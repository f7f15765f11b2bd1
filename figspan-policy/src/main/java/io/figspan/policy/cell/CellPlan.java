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
 * The cells of one service: each host places requests at the engines of its own cell and exchanges work with the hosts
 * that do so too. What a host hears and computes thus follows the size of a cell instead of that of the fleet.
 *
 * <p>Hosts and engines are each sorted by a hash of their ids and cut into pieces of equal length, so that a member
 * that comes or goes moves at most one other across each cut. Every host computes the plan from what it knows; hosts
 * that know different members may place at the same engine without hearing of each other, which costs time and nothing
 * else.
 */
public final class CellPlan {
    /** Engines that one host can follow, and enough of them to read the longest prompts together. */
    static final int ENGINES_PER_CELL = 22;

    /** Fewest hosts of a cell, so that its engines stay in use when hosts fail. */
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

    /** Divides hosts and engines into cells; a small fleet is one cell. */
    public static CellPlan divide(Collection<HostId> hosts, Collection<BackendServerId> engines) {
        int count = countFor(hosts.size(), engines.size());
        return new CellPlan(count, cut(HOSTS_KEY, hosts, count), cut(ENGINES_KEY, engines, count));
    }

    static int countFor(int hosts, int engines) {
        long byEngines = Math.round((double) engines / ENGINES_PER_CELL);
        return (int) Math.max(1, Math.min(byEngines, hosts / MIN_HOSTS_PER_CELL));
    }

    private static <T> Map<T, Integer> cut(String key, Collection<T> members, int count) {
        List<T> ordered = count == 1 ? List.copyOf(members) : RendezvousHash.order(key, members);
        Map<T, Integer> cells = new HashMap<>();
        for (int place = 0; place < ordered.size(); place++) {
            cells.put(ordered.get(place), place * count / ordered.size());
        }
        return cells;
    }

    /** Number of cells. */
    public int count() {
        return count;
    }

    /** Whether a host places requests at an engine; false for members that are not known. */
    public boolean mayUse(HostId host, BackendServerId engine) {
        Integer cell = cellOfHost.get(host);
        return cell != null && cell.equals(cellOfEngine.get(engine));
    }

    /** The hosts of a host's cell, that one included; none for a host that is not known. */
    public Set<HostId> hostsInCellOf(HostId host) {
        return hostsOf(cellOfHost.get(host));
    }

    /** The hosts that place requests at an engine; none for an engine that is not known. */
    public Set<HostId> hostsUsing(BackendServerId engine) {
        return hostsOf(cellOfEngine.get(engine));
    }

    private Set<HostId> hostsOf(Integer cell) {
        return Collections.unmodifiableSet(hostsOfCell.getOrDefault(cell, Set.of()));
    }
}
