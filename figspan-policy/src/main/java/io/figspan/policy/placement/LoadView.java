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
 * One host's view of the load of its engines: the last load report of each engine, and the prompts that this host has
 * sent to it. Prompts sent by other hosts since the report are unknown.
 *
 * <p>Not thread-safe; times are on the host's monotonic clock.
 */
public final class LoadView {
    /** Maximum number of engines; further ones are not added. */
    public static final int MAX_ENGINES = 64;

    /** Maximum number of sent prompts tracked per engine; the oldest is dropped first. */
    public static final int MAX_SENDS_PER_ENGINE = 1_024;

    private static final int LENGTH_BUCKETS = 12;

    private static final String SHORT_ONLY_KEY = "kept-free";

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

    /** Changes the engine speed used for predictions, for example after a change of the settings. */
    public void setSpeed(EngineSpeed newSpeed) {
        speed = newSpeed;
    }

    // ---- Engines ----

    /** Adds an engine; returns false if it is already present or the view is full. */
    public boolean add(EngineLocation location) {
        if (loads.size() >= MAX_ENGINES || byServer.containsKey(location.server())) {
            return false;
        }
        EngineLoad load = new EngineLoad(location);
        loads.add(load);
        byServer.put(location.server(), load);
        updateShortOnlyRanks();
        return true;
    }

    /** Removes an engine, also when it is replaced by a new incarnation. */
    public void remove(BackendServerId server) {
        EngineLoad load = byServer.remove(server);
        if (load != null) {
            loads.remove(load);
            updateShortOnlyRanks();
        }
    }

    /** Marks an engine as leaving or as available; an engine that is leaving receives no new work. */
    public void setLeaving(BackendServerId server, boolean leaving) {
        EngineLoad load = byServer.get(server);
        if (load != null) {
            load.leaving = leaving;
        }
    }

    /** Sets the engines that this host prefers; see {@link io.figspan.policy.subset.HomeEngines}. */
    public void setHomeEngines(Set<BackendServerId> homes) {
        loads.forEach(load -> load.home = homes.contains(load.server()));
    }

    /** Returns an unmodifiable view of all engines, in the order in which they were added. */
    public List<EngineLoad> engines() {
        return Collections.unmodifiableList(loads);
    }

    /** Returns the load of an engine; null if it is not in the view. */
    public EngineLoad get(BackendServerId server) {
        return byServer.get(server);
    }

    private void updateShortOnlyRanks() {
        List<EngineLoad> ordered = new ArrayList<>(loads);
        ordered.sort(Comparator.comparingLong(
                load -> RendezvousHash.weight(SHORT_ONLY_KEY, load.server().value())));
        for (int rank = 0; rank < ordered.size(); rank++) {
            ordered.get(rank).shortOnlyRank = rank;
        }
    }

    /** Advances the round-robin position and returns it. */
    int nextRoundRobin() {
        roundRobinNext = loads.isEmpty() ? 0 : (roundRobinNext + 1) % loads.size();
        return roundRobinNext;
    }

    // ---- Load reports and sent prompts ----

    /**
     * Sets the load report of an engine, measured at {@code measuredAtNanos}. Ignored unless newer than the last one.
     */
    public void report(BackendServerId server, LoadReport report, long measuredAtNanos) {
        EngineLoad load = byServer.get(server);
        if (load == null || (load.report != null && report.sequence() <= load.report.sequence())) {
            return;
        }
        load.report = report;
        load.measuredAtNanos = measuredAtNanos;
        load.recomputeTotals();
    }

    /**
     * Records that this host has sent a prompt to an engine.
     *
     * @param sendId id of the send, unique on this host
     * @param promptTokens length of the prompt
     * @param prefillTokens tokens to prefill on this engine
     * @param kvTokens KV cache tokens to use on this engine
     */
    public void recordSent(
            BackendServerId server, long sendId, long promptTokens, long prefillTokens, long kvTokens, long nowNanos) {
        EngineLoad load = byServer.get(server);
        if (load != null) {
            load.add(sendId, new SentPrompt(nowNanos, lengthBucket(promptTokens), prefillTokens, kvTokens));
        }
    }

    /** Records the first token of a prompt that this host sent: its prefill is complete. */
    public void recordFirstToken(BackendServerId server, long sendId) {
        EngineLoad load = byServer.get(server);
        SentPrompt sent = load == null ? null : load.sentPrompts.get(sendId);
        if (sent != null) {
            load.markPrefillDone(sendId, sent);
        }
    }

    /** Records the end of a prompt that this host sent, regardless of its outcome. */
    public void recordFinished(BackendServerId server, long sendId) {
        EngineLoad load = byServer.get(server);
        if (load != null) {
            load.finish(sendId);
        }
    }

    // ---- Estimates ----

    /** Mean estimated backlog in prefill tokens of all engines that are not leaving. */
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

    /** Fraction of the KV cache of all engines that is in use, 0 to 1. */
    public double kvUsedShare() {
        long used = 0;
        long total = 0;
        for (int i = 0; i < loads.size(); i++) {
            total += speed.kvTotalTokens();
            used += speed.kvTotalTokens() - loads.get(i).kvFreeTokens();
        }
        return total == 0 ? 0 : (double) used / total;
    }

    /** Histogram bucket of a prompt length: one bucket per power of two in units of 1,024 tokens. */
    private static int lengthBucket(long promptTokens) {
        int bits = Long.SIZE - Long.numberOfLeadingZeros(promptTokens >> 10);
        return Math.min(LENGTH_BUCKETS - 1, bits);
    }

    private record SentPrompt(long atNanos, int bucket, long prefillTokens, long kvTokens) {}

    /** Load of one engine as known to this host. */
    public final class EngineLoad {
        private final EngineLocation location;
        private final Map<Long, SentPrompt> sentPrompts = new LinkedHashMap<>();
        private boolean leaving;
        private LoadReport report;
        private long measuredAtNanos;
        private boolean home;
        private int shortOnlyRank;
        private long ownPendingTokens;
        private final long[] ownPendingByBucket = new long[LENGTH_BUCKETS];
        private long sinceReportTokens;
        private long sinceReportKvTokens;

        private EngineLoad(EngineLocation location) {
            this.location = location;
        }

        public BackendServerId server() {
            return location.server();
        }

        public AvailabilityZoneId zone() {
            return location.zone();
        }

        /** Tells whether the engine is a home engine of this host. */
        public boolean home() {
            return home;
        }

        public boolean leaving() {
            return leaving;
        }

        /** Number of requests of this host that have not ended. */
        public int outstanding() {
            return sentPrompts.size();
        }

        /** Age of the last report; {@link Long#MAX_VALUE} if there is none. */
        public long reportAgeNanos(long nowNanos) {
            return report == null ? Long.MAX_VALUE : Math.max(0, nowNanos - measuredAtNanos);
        }

        /** Queued prompt tokens in the last report, minus what the engine can have prefilled since. */
        public long reportedBacklogTokens(long nowNanos) {
            if (report == null) {
                return 0;
            }
            long drained = speed.prefillTokens(Math.max(0, nowNanos - measuredAtNanos));
            return Math.max(0, report.queuedPrefillTokens() - drained);
        }

        /**
         * Estimated queued prompt tokens: {@link #reportedBacklogTokens} plus the tokens that this host has sent since
         * the report, and at least {@link #ownPendingTokens()}.
         */
        public long backlogTokens(long nowNanos) {
            return Math.max(ownPendingTokens, reportedBacklogTokens(nowNanos) + sinceReportTokens);
        }

        /** Prefill tokens of prompts of this host that have not produced a first token. */
        public long ownPendingTokens() {
            return ownPendingTokens;
        }

        /** Free KV cache tokens in the last report, minus those of prompts that this host has sent since. */
        public long kvFreeTokens() {
            long free = report == null ? speed.kvTotalTokens() : report.kvFreeTokens();
            return Math.max(0, free - sinceReportKvTokens);
        }

        /** As {@link #ownPendingTokens()}, for prompts up to the length bucket of {@code promptTokens}, inclusive. */
        public long ownPendingTokens(long promptTokens) {
            long sum = 0;
            for (int bucket = lengthBucket(promptTokens); bucket >= 0; bucket--) {
                sum += ownPendingByBucket[bucket];
            }
            return sum;
        }

        /** Rank in the order in which engines are reserved for short prompts; the same on all hosts. */
        public int shortOnlyRank() {
            return shortOnlyRank;
        }

        /** Tells whether the engine may have cached the prefix, according to its last report. */
        public boolean mayHavePrefix(long prefixHash) {
            return report != null && report.mayHavePrefix(prefixHash);
        }

        private void add(long sendId, SentPrompt sent) {
            if (sentPrompts.size() >= MAX_SENDS_PER_ENGINE) {
                Iterator<Map.Entry<Long, SentPrompt>> oldest =
                        sentPrompts.entrySet().iterator();
                subtract(oldest.next().getValue());
                oldest.remove();
            }
            sentPrompts.put(sendId, sent);
            ownPendingTokens += sent.prefillTokens;
            ownPendingByBucket[sent.bucket] += sent.prefillTokens;
            if (report == null || sent.atNanos > measuredAtNanos) {
                sinceReportTokens += sent.prefillTokens;
                sinceReportKvTokens += sent.kvTokens;
            }
        }

        private void finish(long sendId) {
            SentPrompt sent = sentPrompts.remove(sendId);
            if (sent != null) {
                subtract(sent);
            }
        }

        private void markPrefillDone(long sendId, SentPrompt sent) {
            sentPrompts.put(sendId, new SentPrompt(sent.atNanos, sent.bucket, 0, sent.kvTokens));
            ownPendingTokens -= sent.prefillTokens;
            ownPendingByBucket[sent.bucket] -= sent.prefillTokens;
            if (report == null || sent.atNanos > measuredAtNanos) {
                sinceReportTokens -= sent.prefillTokens;
            }
        }

        private void subtract(SentPrompt sent) {
            ownPendingTokens -= sent.prefillTokens;
            ownPendingByBucket[sent.bucket] -= sent.prefillTokens;
            if (report == null || sent.atNanos > measuredAtNanos) {
                sinceReportTokens -= sent.prefillTokens;
                sinceReportKvTokens -= sent.kvTokens;
            }
        }

        private void recomputeTotals() {
            ownPendingTokens = 0;
            Arrays.fill(ownPendingByBucket, 0);
            sinceReportTokens = 0;
            sinceReportKvTokens = 0;
            for (SentPrompt sent : sentPrompts.values()) {
                ownPendingTokens += sent.prefillTokens;
                ownPendingByBucket[sent.bucket] += sent.prefillTokens;
                if (report == null || sent.atNanos > measuredAtNanos) {
                    sinceReportTokens += sent.prefillTokens;
                    sinceReportKvTokens += sent.kvTokens;
                }
            }
        }
    }
}
