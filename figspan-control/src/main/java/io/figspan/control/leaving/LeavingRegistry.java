package io.figspan.control.leaving;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Registry of the backend server processes known to be leaving. Once registered, a process stays leaving: a stale
 * source that still lists it as live has no effect. For each server only the highest leaving process number is kept;
 * lower numbers are earlier processes of the same server and count as leaving too.
 *
 * <p>The registry is bounded. When it is full, the server updated longest ago is evicted and counted.
 */
public final class LeavingRegistry {
    /** Default capacity in servers: six times the number of runners at the design scale. */
    public static final int DEFAULT_CAPACITY_SERVERS = 4_096;

    /**
     * Maximum age of an engine's report for the engine to get new work. With a poll interval of half a second, a host
     * stops using a leaving engine within the bound of 3 s even when it can reach no other host.
     */
    public static final long MAX_REPORT_AGE_MS = 2_500;

    private final int capacityServers;
    private final Map<BackendServerId, LeavingEntry> leaving = new LinkedHashMap<>();
    private long droppedCount;

    public LeavingRegistry(int capacityServers) {
        this.capacityServers = capacityServers;
    }

    /** Records that a process is leaving. Returns true if this is new and has to be passed on to other hosts. */
    public boolean onLeaving(BackendIncarnation process, LeavingSource source, long nowNanos) {
        LeavingEntry known = leaving.get(process.server());
        if (known != null && known.number >= process.number()) {
            return false;
        }
        leaving.remove(process.server());
        if (leaving.size() >= capacityServers) {
            leaving.remove(leaving.keySet().iterator().next());
            droppedCount++;
        }
        leaving.put(process.server(), new LeavingEntry(process.number(), source, nowNanos));
        return true;
    }

    /** Returns whether new work may be sent to this process. Work in flight is not affected. */
    public boolean mayTakeNewWork(BackendIncarnation process) {
        LeavingEntry known = leaving.get(process.server());
        return known == null || process.number() > known.number;
    }

    /**
     * As {@link #mayTakeNewWork(BackendIncarnation)}, for an engine that reports whether it is leaving. Returns false
     * if its newest report is too old to show that; the engine has to be polled first.
     *
     * @param reportRequestedNanos time at which the request for the newest report was sent
     */
    public boolean mayTakeNewWork(BackendIncarnation process, long reportRequestedNanos, long nowNanos) {
        boolean recent = nowNanos - reportRequestedNanos <= TimeUnit.MILLISECONDS.toNanos(MAX_REPORT_AGE_MS);
        return recent && mayTakeNewWork(process);
    }

    /** Processes known to be leaving, least recently updated first, for gossip and the status page. */
    public List<BackendIncarnation> leaving() {
        return leaving.entrySet().stream()
                .map(entry -> new BackendIncarnation(entry.getKey(), entry.getValue().number))
                .toList();
    }

    /** Number of entries evicted because the registry was full. */
    public long droppedCount() {
        return droppedCount;
    }

    private record LeavingEntry(long number, LeavingSource source, long atNanos) {}
}
