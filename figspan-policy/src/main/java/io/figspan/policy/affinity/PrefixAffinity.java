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
 * Routes prompts with the same prefix to the same few engines, to reuse their prefix caches. Uses rendezvous hashing
 * with bounded loads after Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.
 * Cache events and own sends are kept as hints on which engines hold a prefix; a wrong hint costs a cache miss.
 *
 * <p>Not thread-safe.
 */
public final class PrefixAffinity {
    /** Maximum number of prefixes with hints; the least recently used prefix is evicted. */
    public static final int MAX_PREFIXES = 4_096;

    /** Maximum load of a preferred engine, as a multiple of the mean load of the candidates. */
    public static final double DEFAULT_LOAD_BOUND = 1.25;

    private final double loadBound;
    private final int maxPrefixes;
    private final Map<Long, Set<BackendServerId>> serversByPrefix;
    private final Map<BackendServerId, Long> lastSequences = new HashMap<>();

    public PrefixAffinity(double loadBound) {
        this(loadBound, MAX_PREFIXES);
    }

    PrefixAffinity(double loadBound, int maxPrefixes) {
        this.loadBound = loadBound;
        this.maxPrefixes = maxPrefixes;
        this.serversByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    }

    /**
     * Returns the candidate with the highest rendezvous weight among those whose load is within the bound. Candidates
     * with a hint for the prefix take precedence over the others.
     *
     * @param slackTokens load allowed above the bound, so that a prefix is not spread over an idle fleet
     * @return the preferred engine; empty if there are no candidates within the bound
     */
    public Optional<EngineLoad> preferred(
            long prefixHash, List<EngineLoad> candidates, ToLongFunction<EngineLoad> loadTokens, long slackTokens) {
        double sum = 0;
        for (EngineLoad candidate : candidates) {
            sum += loadTokens.applyAsLong(candidate);
        }
        double bound = sum / Math.max(1, candidates.size()) * loadBound + slackTokens;
        EngineLoad best = null;
        boolean bestMayHave = false;
        long bestWeight = 0;
        for (EngineLoad candidate : candidates) {
            if (loadTokens.applyAsLong(candidate) > bound) {
                continue;
            }
            boolean mayHave = mayHavePrefix(prefixHash, candidate.server());
            long weight = rendezvousWeight(prefixHash, candidate.server());
            if (best == null || (mayHave && !bestMayHave) || (mayHave == bestMayHave && weight > bestWeight)) {
                best = candidate;
                bestMayHave = mayHave;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Updates the hints from a cache event. Events at or below the last sequence number are ignored. After a gap in the
     * sequence, all hints on the engine are dropped because evictions may have been missed.
     */
    public void onEvent(CacheEvent event) {
        Long last = lastSequences.get(event.server());
        if (last != null && event.sequence() <= last) {
            return;
        }
        if (last != null && event.sequence() > last + 1) {
            dropHints(event.server());
        }
        lastSequences.put(event.server(), event.sequence());
        if (event.stored()) {
            addHint(event.prefixHash(), event.server());
            return;
        }
        Set<BackendServerId> servers = serversByPrefix.get(event.prefixHash());
        if (servers != null && servers.remove(event.server()) && servers.isEmpty()) {
            serversByPrefix.remove(event.prefixHash());
        }
    }

    /** Adds a hint for an engine to which this host has sent a prompt with the prefix. */
    public void recordSent(long prefixHash, BackendServerId server) {
        addHint(prefixHash, server);
    }

    /** Tells whether there is a hint that the engine has cached the prefix. */
    public boolean mayHavePrefix(long prefixHash, BackendServerId server) {
        Set<BackendServerId> servers = serversByPrefix.get(prefixHash);
        return servers != null && servers.contains(server);
    }

    /** Tells whether there is a hint that any engine has cached the prefix. */
    public boolean hasHint(long prefixHash) {
        return serversByPrefix.containsKey(prefixHash);
    }

    /** Drops all hints on an engine, for example after a restart. */
    public void dropHints(BackendServerId server) {
        serversByPrefix.values().forEach(servers -> servers.remove(server));
        serversByPrefix.values().removeIf(Set::isEmpty);
        lastSequences.remove(server);
    }

    /** Number of prefixes with hints. */
    public int size() {
        return serversByPrefix.size();
    }

    private void addHint(long prefixHash, BackendServerId server) {
        if (!serversByPrefix.containsKey(prefixHash) && serversByPrefix.size() >= maxPrefixes) {
            serversByPrefix.remove(serversByPrefix.keySet().iterator().next());
        }
        serversByPrefix.computeIfAbsent(prefixHash, hash -> new HashSet<>()).add(server);
    }

    /** Computes the rendezvous weight with the finalizer of SplitMix64, which allocates no memory. */
    private static long rendezvousWeight(long prefixHash, BackendServerId server) {
        long z = prefixHash + 0x9E3779B97F4A7C15L * (server.value().hashCode() + 1L);
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
