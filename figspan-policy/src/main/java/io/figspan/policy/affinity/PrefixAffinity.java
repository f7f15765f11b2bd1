package io.figspan.policy.affinity;

import io.figspan.core.id.BackendServerId;
import io.figspan.policy.placement.LoadView.EngineLoad;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Prefers the same few runners for prompts with the same prefix: rendezvous hashing with bounded loads after Mirrokni,
 * Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018. Cache events correct the choice but are
 * only hints: a wrong one costs a cache miss.
 */
public final class PrefixAffinity {
    /** Most prefixes with hints; the least recently used is dropped. */
    public static final int MAX_PREFIXES = 4_096;

    /** Load relative to the mean up to which a preferred runner is taken. */
    public static final double DEFAULT_LOAD_BOUND = 1.25;

    private final double loadBound;
    private final int maxPrefixes;
    private final Map<Long, Set<BackendServerId>> holders;
    private final Map<BackendServerId, Long> sequences = new HashMap<>();

    public PrefixAffinity(double loadBound) {
        this(loadBound, MAX_PREFIXES);
    }

    PrefixAffinity(double loadBound, int maxPrefixes) {
        this.loadBound = loadBound;
        this.maxPrefixes = maxPrefixes;
        this.holders = new LinkedHashMap<>(16, 0.75f, true);
    }

    /**
     * First runner in the order of the prefix whose load is within the bound: known holders first, then the others.
     *
     * @param slackTokens load that is allowed above the bound, so that an idle fleet does not spread a prefix
     */
    public Optional<EngineLoad> preferred(
            long prefixHash, List<EngineLoad> candidates, ToLongFunction<EngineLoad> loadTokens, long slackTokens) {
        double sum = 0;
        for (EngineLoad candidate : candidates) {
            sum += loadTokens.applyAsLong(candidate);
        }
        double bound = sum / Math.max(1, candidates.size()) * loadBound + slackTokens;
        EngineLoad best = null;
        boolean bestHolds = false;
        long bestWeight = 0;
        for (EngineLoad candidate : candidates) {
            if (loadTokens.applyAsLong(candidate) > bound) {
                continue;
            }
            boolean holds = mayHavePrefix(prefixHash, candidate.server());
            long weight = weight(prefixHash, candidate.server());
            if (best == null || (holds && !bestHolds) || (holds == bestHolds && weight > bestWeight)) {
                best = candidate;
                bestHolds = holds;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Takes a cache event. After a gap, all hints on that engine are dropped because evictions may be missing. */
    public void onEvent(CacheEvent event) {
        Long last = sequences.get(event.server());
        if (last != null && event.sequence() <= last) {
            return;
        }
        if (last != null && event.sequence() > last + 1) {
            forget(event.server());
        }
        sequences.put(event.server(), event.sequence());
        if (event.stored()) {
            hold(event.prefixHash(), event.server());
            return;
        }
        Set<BackendServerId> of = holders.get(event.prefixHash());
        if (of != null && of.remove(event.server()) && of.isEmpty()) {
            holders.remove(event.prefixHash());
        }
    }

    /** Records that this host sent a prompt with the prefix, so the engine is about to cache it. */
    public void recordSent(long prefixHash, BackendServerId server) {
        hold(prefixHash, server);
    }

    public boolean mayHavePrefix(long prefixHash, BackendServerId server) {
        Set<BackendServerId> of = holders.get(prefixHash);
        return of != null && of.contains(server);
    }

    /** Tells whether any runner may hold the prefix. */
    public boolean hasHint(long prefixHash) {
        return holders.containsKey(prefixHash);
    }

    /** Drops all hints on an engine, such as after a restart. */
    public void forget(BackendServerId server) {
        holders.values().forEach(of -> of.remove(server));
        holders.values().removeIf(Set::isEmpty);
        sequences.remove(server);
    }

    /** Number of prefixes with hints. */
    public int size() {
        return holders.size();
    }

    private void hold(long prefixHash, BackendServerId server) {
        if (!holders.containsKey(prefixHash) && holders.size() >= maxPrefixes) {
            holders.remove(holders.keySet().iterator().next());
        }
        holders.computeIfAbsent(prefixHash, hash -> new HashSet<>()).add(server);
    }

    /** Rendezvous weight by the finalizer of SplitMix64, which needs no allocation. */
    private static long weight(long prefixHash, BackendServerId server) {
        long z = prefixHash + 0x9E3779B97F4A7C15L * (server.value().hashCode() + 1L);
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
