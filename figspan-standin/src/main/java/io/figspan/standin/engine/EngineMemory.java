package io.figspan.standin.engine;

import io.figspan.core.id.HoldHandle;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * KV memory of one engine, allocated in holds. It remembers released handles, so that a hold request that arrives after
 * the release of its handle allocates nothing.
 */
final class EngineMemory {
    /** Maximum number of released handles to remember; the oldest is evicted first. */
    static final int MAX_RELEASED_HANDLES = 8_192;

    /** Allocation of KV memory. {@code expiresAtNanos} is a time of the engine's own monotonic clock. */
    record Hold(HoldHandle handle, long tokens, long expiresAtNanos) {}

    /** Result of an allocation. */
    enum AllocationResult {
        OK,
        FULL,
        RELEASED
    }

    private final long capacityTokens;
    private final Map<HoldHandle, Hold> holds = new LinkedHashMap<>();
    private final Set<HoldHandle> releasedHandles = new LinkedHashSet<>();
    private long allocatedTokens;

    EngineMemory(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Allocates memory for a handle. A handle that already has a hold keeps it unchanged, with its expiry time. */
    AllocationResult allocate(HoldHandle handle, long tokens, long expiresInMs, long nowNanos) {
        if (releasedHandles.contains(handle)) {
            return AllocationResult.RELEASED;
        }
        if (holds.containsKey(handle)) {
            return AllocationResult.OK;
        }
        if (tokens > freeTokens()) {
            return AllocationResult.FULL;
        }
        holds.put(handle, new Hold(handle, tokens, nowNanos + TimeUnit.MILLISECONDS.toNanos(expiresInMs)));
        allocatedTokens += tokens;
        return AllocationResult.OK;
    }

    /** Releases the hold of a handle. Further releases have no effect. */
    void release(HoldHandle handle) {
        Hold hold = holds.remove(handle);
        if (hold != null) {
            allocatedTokens -= hold.tokens();
        }
        if (releasedHandles.add(handle) && releasedHandles.size() > MAX_RELEASED_HANDLES) {
            releasedHandles.remove(releasedHandles.iterator().next());
        }
    }

    boolean hasHold(HoldHandle handle) {
        return holds.containsKey(handle);
    }

    /** Releases all expired holds and returns their handles. */
    List<HoldHandle> expire(long nowNanos) {
        List<HoldHandle> expired = new ArrayList<>();
        holds.values().forEach(hold -> {
            if (nowNanos - hold.expiresAtNanos() >= 0) {
                expired.add(hold.handle());
            }
        });
        expired.forEach(this::release);
        return expired;
    }

    long freeTokens() {
        return capacityTokens - allocatedTokens;
    }

    List<Hold> holds() {
        return List.copyOf(holds.values());
    }
}
