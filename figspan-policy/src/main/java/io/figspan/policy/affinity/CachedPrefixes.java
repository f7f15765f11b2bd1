package io.figspan.policy.affinity;

import io.figspan.core.id.BackendServerId;
import io.figspan.settings.gateway.PrefixRetention;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates from the sends of this host which parts of prompts the engines of one service hold in memory. A wrong
 * estimate costs the prefill that was expected to be saved (docs/design/cache-affinity.md).
 *
 * <p>Not thread-safe; times are on the host's monotonic clock.
 */
public final class CachedPrefixes {
    /** Maximum number of parts for each engine; the least recently used part is evicted. */
    public static final int MAX_PARTS_PER_ENGINE = 256;

    private final PrefixRetention retention;
    private final int maxPartsPerEngine;
    private final Map<BackendServerId, EngineCache> engines = new HashMap<>();

    public CachedPrefixes(PrefixRetention retention) {
        this(retention, MAX_PARTS_PER_ENGINE);
    }

    CachedPrefixes(PrefixRetention retention, int maxPartsPerEngine) {
        this.retention = retention;
        this.maxPartsPerEngine = maxPartsPerEngine;
    }

    /** Records a request that was sent to an engine. Its end is to be recorded with the use. */
    public PrefixUse started(BackendServerId engine, PromptPrefix prefix) {
        return engines.computeIfAbsent(engine, id -> new EngineCache(retention, maxPartsPerEngine))
                .started(prefix);
    }

    /** Forgets the parts of an engine, which may have restarted or lost its memory. */
    public void clear(BackendServerId engine) {
        EngineCache cache = engines.get(engine);
        if (cache != null) {
            cache.clear();
        }
    }

    /** Forgets the engines that are not among {@code known}. */
    public void retainEngines(Collection<BackendServerId> known) {
        engines.keySet().retainAll(known);
    }

    /** Evicts the least recently used parts without a running request that exceed the free memory of an engine. */
    public void fitInto(BackendServerId engine, double freeTokens) {
        EngineCache cache = engines.get(engine);
        if (cache != null) {
            cache.fitInto(freeTokens);
        }
    }

    /**
     * Returns the prefill that an engine is expected to save for a prompt: the tokens of the leading run of parts that
     * it holds, each weighted with the chance that it still does.
     */
    public double expectedTokens(BackendServerId engine, PromptPrefix prefix, long nowNanos) {
        EngineCache cache = engines.get(engine);
        return cache == null ? 0 : cache.expectedTokens(prefix, nowNanos);
    }

    /** Number of parts that are known to be at an engine. */
    int size(BackendServerId engine) {
        EngineCache cache = engines.get(engine);
        return cache == null ? 0 : cache.size();
    }
}
