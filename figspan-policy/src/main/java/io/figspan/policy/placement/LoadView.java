package io.figspan.policy.placement;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.util.RendezvousHash;
import io.figspan.policy.subset.EngineLocation;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One host's view of the load of its runners: the last report of each, and what this host itself has sent there and
 * when. Other hosts' sends since the report are unknown.
 *
 * <p>Not thread-safe; times are on the host's monotonic clock.
 */
public final class LoadView {
    /** Largest number of runners; further ones are not added. */
    public static final int MAX_RUNNERS = 64;

    /** Largest number of sends tracked per runner; the oldest is forgotten first. */
    public static final int MAX_SENDS_PER_RUNNER = 1_024;

    private static final int LENGTH_BUCKETS = 12;

    private static final String KEPT_FREE_KEY = "kept-free";

    private EngineSpeed speed;
    private final List<EngineLoad> loads = new ArrayList<>();
    private final Map<BackendServerId, EngineLoad> byServer = new HashMap<>();
    private int roundRobinNext;

    public LoadView(EngineSpeed speed) {
        this.speed = speed;
    }

    public EngineSpeed speed() {
        return speed;
    }

    /** Changes the speed that predictions use, as after a change of the settings. */
    public void setSpeed(EngineSpeed newSpeed) {
        speed = newSpeed;
    }

    // ---- Runners ----

    /** Adds a runner; answers false when it is known or the view is full. */
    public boolean add(EngineLocation runner) {
        if (loads.size() >= MAX_RUNNERS || byServer.containsKey(runner.server())) {
            return false;
        }
        EngineLoad load = new EngineLoad(runner);
        loads.add(load);
        byServer.put(runner.server(), load);
        rankKeptFree();
        return true;
    }

    /** Forgets a runner, also when its engine was replaced by a new incarnation. */
    public void remove(BackendServerId server) {
        EngineLoad load = byServer.remove(server);
        if (load != null) {
            loads.remove(load);
            rankKeptFree();
        }
    }

    /** Marks a runner as leaving or as available; a leaving one gets no new work. */
    public void setLeaving(BackendServerId server, boolean leaving) {
        EngineLoad load = byServer.get(server);
        if (load != null) {
            load.leaving = leaving;
        }
    }

    /** Marks the runners that this host prefers; see {@link io.figspan.policy.subset.HomeEngines}. */
    public void setHomeEngines(Set<BackendServerId> homes) {
        loads.forEach(load -> load.home = homes.contains(load.server()));
    }

    /** All runners in the order in which they were added. */
    public List<EngineLoad> engines() {
        return Collections.unmodifiableList(loads);
    }

    public EngineLoad get(BackendServerId server) {
        return byServer.get(server);
    }

    private void rankKeptFree() {
        List<EngineLoad> ordered = new ArrayList<>(loads);
        ordered.sort(Comparator.comparingLong(
                load -> RendezvousHash.weight(KEPT_FREE_KEY, load.server().value())));
        for (int rank = 0; rank < ordered.size(); rank++) {
            ordered.get(rank).keptFreeRank = rank;
        }
    }

    /** Position of the next round-robin choice. */
    int nextRoundRobin() {
        roundRobinNext = loads.isEmpty() ? 0 : (roundRobinNext + 1) % loads.size();
        return roundRobinNext;
    }

    // ---- Reports and sends ----

    /** Takes a report that was measured at {@code measuredAtNanos}. One that is not newer than the last is ignored. */
    public void report(BackendServerId server, LoadReport report, long measuredAtNanos) {
        EngineLoad load = byServer.get(server);
        if (load == null || (load.report != null && report.sequence() <= load.report.sequence())) {
            return;
        }
        load.report = report;
        load.measuredAtNanos = measuredAtNanos;
        load.recount();
    }

    /**
     * Records that this host sends a prompt.
     *
     * @param sendId unique on this host
     * @param promptTokens length of the prompt
     * @param prefillTokens tokens to process on this runner
     * @param kvTokens memory to take on this runner
     */
    public void recordSent(
            BackendServerId server, long sendId, long promptTokens, long prefillTokens, long kvTokens, long nowNanos) {
        EngineLoad load = byServer.get(server);
        if (load != null) {
            load.add(sendId, new Send(nowNanos, lengthBucket(promptTokens), prefillTokens, kvTokens));
        }
    }

    /** Records the first token of a prompt that this host sent: its prompt has left the engine's queue. */
    public void recordFirstToken(BackendServerId server, long sendId) {
        EngineLoad load = byServer.get(server);
        Send send = load == null ? null : load.sends.get(sendId);
        if (send != null) {
            load.prefillDone(sendId, send);
        }
    }

    /** Records the end of a prompt that this host sent, whatever its outcome. */
    public void recordFinished(BackendServerId server, long sendId) {
        EngineLoad load = byServer.get(server);
        if (load != null) {
            load.finish(sendId);
        }
    }

    // ---- Estimates ----

    /** Mean of the estimated backlog over all runners that are not leaving, in prefill tokens. */
    public double meanBacklogTokens(long nowNanos) {
        long sum = 0;
        int count = 0;
        for (int i = 0; i < loads.size(); i++) {
            EngineLoad load = loads.get(i);
            if (!load.leaving) {
                sum += load.backlogTokens(nowNanos);
                count++;
            }
        }
        return count == 0 ? 0 : (double) sum / count;
    }

    /** Share of the memory of all runners that is in use, 0 to 1. */
    public double kvUsedShare() {
        long used = 0;
        long total = 0;
        for (int i = 0; i < loads.size(); i++) {
            total += speed.kvTotalTokens();
            used += speed.kvTotalTokens() - loads.get(i).kvFreeTokens();
        }
        return total == 0 ? 0 : (double) used / total;
    }

    /** Powers of two of the length in thousands of tokens. */
    private static int lengthBucket(long promptTokens) {
        int bits = Long.SIZE - Long.numberOfLeadingZeros(promptTokens >> 10);
        return Math.min(LENGTH_BUCKETS - 1, bits);
    }

    private record Send(long atNanos, int bucket, long prefillTokens, long kvTokens) {}

    /** What is known of one runner. */
    public final class EngineLoad {
        private final EngineLocation runner;
        private final Map<Long, Send> sends = new LinkedHashMap<>();
        private boolean leaving;
        private LoadReport report;
        private long measuredAtNanos;
        private boolean home;
        private int keptFreeRank;
        private long ownPendingTokens;
        private final long[] ownPendingByBucket = new long[LENGTH_BUCKETS];
        private long sinceReportTokens;
        private long sinceReportKvTokens;

        private EngineLoad(EngineLocation runner) {
            this.runner = runner;
        }

        public BackendServerId server() {
            return runner.server();
        }

        public AvailabilityZoneId zone() {
            return runner.zone();
        }

        /** Tells whether this host prefers the runner. */
        public boolean home() {
            return home;
        }

        public boolean leaving() {
            return leaving;
        }

        /** Requests of this host that have not ended. */
        public int outstanding() {
            return sends.size();
        }

        /** Age of the last report; {@link Long#MAX_VALUE} when there is none. */
        public long reportAgeNanos(long nowNanos) {
            return report == null ? Long.MAX_VALUE : Math.max(0, nowNanos - measuredAtNanos);
        }

        /** Queued prompt tokens by the last report, less what the engine can have processed since. */
        public long reportedBacklogTokens(long nowNanos) {
            if (report == null) {
                return 0;
            }
            long drained = speed.prefillTokens(Math.max(0, nowNanos - measuredAtNanos));
            return Math.max(0, report.queuedPrefillTokens() - drained);
        }

        /**
         * Estimated queued prompt tokens: the drained report plus what this host has sent since, and at least what this
         * host knows to be unprocessed of its own.
         */
        public long backlogTokens(long nowNanos) {
            return Math.max(ownPendingTokens, reportedBacklogTokens(nowNanos) + sinceReportTokens);
        }

        /** Prompt tokens of this host that have not produced a first token. */
        public long ownPendingTokens() {
            return ownPendingTokens;
        }

        /** Memory that is free by the last report, less what this host has sent since. */
        public long kvFreeTokens() {
            long free = report == null ? speed.kvTotalTokens() : report.kvFreeTokens();
            return Math.max(0, free - sinceReportKvTokens);
        }

        /** As {@link #ownPendingTokens()}, of prompts up to about a length: those in the same power of two count. */
        public long ownPendingTokens(long promptTokens) {
            long sum = 0;
            for (int bucket = lengthBucket(promptTokens); bucket >= 0; bucket--) {
                sum += ownPendingByBucket[bucket];
            }
            return sum;
        }

        /** Position in the order in which runners are kept free of long prompts; the same on each host. */
        public int keptFreeRank() {
            return keptFreeRank;
        }

        public boolean mayHavePrefix(long prefixHash) {
            return report != null && report.mayHavePrefix(prefixHash);
        }

        private void add(long sendId, Send send) {
            if (sends.size() >= MAX_SENDS_PER_RUNNER) {
                Iterator<Map.Entry<Long, Send>> oldest = sends.entrySet().iterator();
                uncount(oldest.next().getValue());
                oldest.remove();
            }
            sends.put(sendId, send);
            ownPendingTokens += send.prefillTokens;
            ownPendingByBucket[send.bucket] += send.prefillTokens;
            if (report == null || send.atNanos > measuredAtNanos) {
                sinceReportTokens += send.prefillTokens;
                sinceReportKvTokens += send.kvTokens;
            }
        }

        private void finish(long sendId) {
            Send send = sends.remove(sendId);
            if (send != null) {
                uncount(send);
            }
        }

        private void prefillDone(long sendId, Send send) {
            sends.put(sendId, new Send(send.atNanos, send.bucket, 0, send.kvTokens));
            ownPendingTokens -= send.prefillTokens;
            ownPendingByBucket[send.bucket] -= send.prefillTokens;
            if (report == null || send.atNanos > measuredAtNanos) {
                sinceReportTokens -= send.prefillTokens;
            }
        }

        private void uncount(Send send) {
            ownPendingTokens -= send.prefillTokens;
            ownPendingByBucket[send.bucket] -= send.prefillTokens;
            if (report == null || send.atNanos > measuredAtNanos) {
                sinceReportTokens -= send.prefillTokens;
                sinceReportKvTokens -= send.kvTokens;
            }
        }

        private void recount() {
            ownPendingTokens = 0;
            Arrays.fill(ownPendingByBucket, 0);
            sinceReportTokens = 0;
            sinceReportKvTokens = 0;
            for (Send send : sends.values()) {
                ownPendingTokens += send.prefillTokens;
                ownPendingByBucket[send.bucket] += send.prefillTokens;
                if (report == null || send.atNanos > measuredAtNanos) {
                    sinceReportTokens += send.prefillTokens;
                    sinceReportKvTokens += send.kvTokens;
                }
            }
        }
    }
}
