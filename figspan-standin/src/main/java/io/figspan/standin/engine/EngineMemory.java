package io.figspan.standin.engine;

import io.figspan.core.id.HoldHandle;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** KV memory of one engine as a table of holds. Released handles are remembered, so that a late hold revives none. */
final class EngineMemory {
    /** Released handles that are remembered; the oldest is forgotten first. */
    static final int MAX_RELEASED = 8_192;

    /** A part of the memory. {@code expiresAtNanos} is on the engine's own clock. */
    record Hold(HoldHandle handle, long tokens, long expiresAtNanos) {}

    /** Outcome of an attempt to take memory. */
    enum Taken {
        OK,
        FULL,
        RELEASED
    }

    private final long capacityTokens;
    private final Map<HoldHandle, Hold> holds = new LinkedHashMap<>();
    private final Set<HoldHandle> released = new LinkedHashSet<>();
    private long usedTokens;

    EngineMemory(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    Taken take(HoldHandle handle, long tokens, long expiresInMs, long nowNanos) {
        if (released.contains(handle)) {
            return Taken.RELEASED;
        }
        if (holds.containsKey(handle)) {
            return Taken.OK;
        }
        if (tokens > freeTokens()) {
            return Taken.FULL;
        }
        holds.put(handle, new Hold(handle, tokens, nowNanos + TimeUnit.MILLISECONDS.toNanos(expiresInMs)));
        usedTokens += tokens;
        return Taken.OK;
    }

    /** Returns the memory of a hold. Releasing a handle again has no effect. */
    void release(HoldHandle handle) {
        Hold hold = holds.remove(handle);
        if (hold != null) {
            usedTokens -= hold.tokens();
        }
        if (released.add(handle) && released.size() > MAX_RELEASED) {
            released.remove(released.iterator().next());
        }
    }

    boolean holds(HoldHandle handle) {
        return holds.containsKey(handle);
    }

    /** Releases the holds that have expired and returns their handles. */
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
        return capacityTokens - usedTokens;
    }

    List<Hold> list() {
        return List.copyOf(holds.values());
    }
}
