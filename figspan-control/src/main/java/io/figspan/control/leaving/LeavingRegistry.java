package io.figspan.control.leaving;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The backend server processes that are known to leave. Once seen, leaving is sticky: a lagging source that still shows
 * the process as live changes nothing. For each server only the highest leaving process number is kept; lower numbers
 * are earlier processes of the same server and count as leaving too.
 *
 * <p>The table is bounded. When it is full, the server seen longest ago is dropped and counted.
 */
public final class LeavingRegistry {
    /** Default bound in servers: six times the runners of the design scale. */
    public static final int DEFAULT_CAPACITY_SERVERS = 4_096;

    /**
     * Oldest report of an engine on which new work may rest. With a host that polls every half second, it keeps within
     * the bound of 3 s even when no other host can be reached.
     */
    public static final long MAX_REPORT_AGE_MS = 2_500;

    private final int capacityServers;
    private final Map<BackendServerId, Seen> leaving = new LinkedHashMap<>();
    private long droppedCount;

    public LeavingRegistry(int capacityServers) {
        this.capacityServers = capacityServers;
    }

    /** Notes that a process leaves. Returns true when this is news that other hosts should hear. */
    public boolean onLeaving(BackendIncarnation process, LeavingSource source, long nowNanos) {
        Seen known = leaving.get(process.server());
        if (known != null && known.number >= process.number()) {
            return false;
        }
        leaving.remove(process.server());
        if (leaving.size() >= capacityServers) {
            leaving.remove(leaving.keySet().iterator().next());
            droppedCount++;
        }
        leaving.put(process.server(), new Seen(process.number(), source, nowNanos));
        return true;
    }

    /** Tells whether new work may go to this process; work in flight there goes on in either case. */
    public boolean mayTakeNewWork(BackendIncarnation process) {
        Seen known = leaving.get(process.server());
        return known == null || process.number() > known.number;
    }

    /**
     * As {@link #mayTakeNewWork(BackendIncarnation)}, for an engine that reports whether it leaves. An engine that was
     * not heard lately may be leaving unseen, so it has to be asked first.
     *
     * @param heardAtNanos when the question was sent that the newest report answers
     */
    public boolean mayTakeNewWork(BackendIncarnation process, long heardAtNanos, long nowNanos) {
        boolean recent = nowNanos - heardAtNanos <= TimeUnit.MILLISECONDS.toNanos(MAX_REPORT_AGE_MS);
        return recent && mayTakeNewWork(process);
    }

    /** The processes known to leave, oldest news first, for gossip and the status page. */
    public List<BackendIncarnation> leaving() {
        return leaving.entrySet().stream()
                .map(entry -> new BackendIncarnation(entry.getKey(), entry.getValue().number))
                .toList();
    }

    /** Number of servers dropped because the table was full. */
    public long droppedCount() {
        return droppedCount;
    }

    private record Seen(long number, LeavingSource source, long atNanos) {}
}
