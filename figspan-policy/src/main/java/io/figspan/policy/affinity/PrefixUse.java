package io.figspan.policy.affinity;

import java.util.List;

/** The use of cached parts by one running request, which ends once. */
public final class PrefixUse {
    private final EngineCache cache;
    private final List<CachedPart> parts;

    PrefixUse(EngineCache cache, List<CachedPart> parts) {
        this.cache = cache;
        this.parts = List.copyOf(parts);
    }

    /** Records that the request ended after its prompt was prefilled. */
    public void ended(long nowNanos) {
        for (CachedPart part : parts) {
            part.held = true;
            part.idleSinceNanos = nowNanos;
        }
        cache.release(parts);
    }

    /** Records that the request ended and perhaps was never prefilled. */
    public void withdrawn() {
        cache.release(parts);
    }
}
