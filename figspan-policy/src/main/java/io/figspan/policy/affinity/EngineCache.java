package io.figspan.policy.affinity;

import io.figspan.policy.affinity.PromptPrefix.Section;
import io.figspan.settings.gateway.PrefixRetention;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The parts that one engine probably holds, the least recently used first. */
final class EngineCache {
    private final PrefixRetention retention;
    private final int maxParts;
    private final Map<Long, CachedPart> parts = new LinkedHashMap<>();

    EngineCache(PrefixRetention retention, int maxParts) {
        this.retention = retention;
        this.maxParts = maxParts;
    }

    PrefixUse started(PromptPrefix prefix) {
        List<CachedPart> used = new ArrayList<>();
        // The last section comes first, so that it is evicted before those without which it can't be reused.
        for (int i = prefix.sections().size() - 1; i >= 0; i--) {
            Section section = prefix.sections().get(i);
            CachedPart known = parts.remove(section.hash());
            CachedPart part = known != null ? known : new CachedPart(section.hash(), section.tokens());
            parts.put(section.hash(), part);
            part.users++;
            used.add(part);
        }
        Iterator<CachedPart> eldest = parts.values().iterator();
        while (parts.size() > maxParts) {
            eldest.next();
            eldest.remove();
        }
        return new PrefixUse(this, used);
    }

    void release(List<CachedPart> ofRequest) {
        for (CachedPart part : ofRequest) {
            part.users--;
            if (part.users == 0 && !(part.held && retention.isRetained())) {
                // Removes this very part, not one that took its place after an eviction.
                parts.remove(part.hash, part);
            }
        }
    }

    void clear() {
        parts.clear();
    }

    /** Evicts parts that no request uses, until the remaining ones fit into the free memory of the engine. */
    void fitInto(double freeTokens) {
        double idleTokens = 0;
        for (CachedPart part : parts.values()) {
            idleTokens += part.users == 0 ? part.tokens : 0;
        }
        Iterator<CachedPart> eldest = parts.values().iterator();
        while (idleTokens > freeTokens && eldest.hasNext()) {
            CachedPart part = eldest.next();
            if (part.users == 0) {
                idleTokens -= part.tokens;
                eldest.remove();
            }
        }
    }

    /** Returns the tokens of the leading run of sections that is held, each weighted with the chance that it is. */
    double expectedTokens(PromptPrefix prefix, long nowNanos) {
        double expected = 0;
        double chance = 1;
        for (Section section : prefix.sections()) {
            chance = Math.min(chance, chanceOf(parts.get(section.hash()), nowNanos));
            if (chance <= 0) {
                break;
            }
            expected += section.tokens() * chance;
        }
        return expected;
    }

    /** A running request keeps its parts; afterwards the chance falls linearly to 0 at the end of the retention. */
    private double chanceOf(CachedPart part, long nowNanos) {
        if (part == null) {
            return 0;
        }
        if (part.users > 0) {
            return 1;
        }
        double idleNanos = (double) (nowNanos - part.idleSinceNanos);
        return 1 - idleNanos / TimeUnit.MILLISECONDS.toNanos(retention.retentionMs());
    }

    int size() {
        return parts.size();
    }
}
