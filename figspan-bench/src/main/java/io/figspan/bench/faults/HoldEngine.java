package io.figspan.bench.faults;

import io.figspan.control.hold.ListedHold;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HoldHandle;
import io.figspan.core.id.HostIncarnation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

/** A fake engine with room for a few holds. It keeps an expired hold until some process releases it. */
final class HoldEngine {
    private static final int CAPACITY = 2;

    private final FaultRun faultRun;
    private final FaultyProcess process;
    private final Map<HoldHandle, Long> expiryMs = new HashMap<>();

    HoldEngine(FaultRun faultRun, String name) {
        this.faultRun = faultRun;
        this.process = new FaultyProcess(faultRun, name, expiryMs::clear);
    }

    FaultyProcess process() {
        return process;
    }

    BackendIncarnation incarnation() {
        return new BackendIncarnation(BackendServerId.of(process.name()), process.number());
    }

    boolean reserve(HoldHandle handle, long timeLeftMs) {
        if (!expiryMs.containsKey(handle) && expiryMs.size() >= CAPACITY) {
            return false;
        }
        expiryMs.putIfAbsent(handle, faultRun.nowMs() + timeLeftMs);
        return true;
    }

    /** Releases a hold; {@code inUse} tells whether a live request of the owner still needs it. */
    boolean release(HoldHandle handle, HostIncarnation by, BiPredicate<HoldHandle, BackendIncarnation> inUse) {
        Long expiry = expiryMs.remove(handle);
        boolean stolen = expiry != null
                && expiry > faultRun.nowMs()
                && !by.equals(handle.owner())
                && inUse.test(handle, incarnation());
        if (stolen) {
            faultRun.violate(Count.HOLDS_STOLEN, handle + " by " + by);
        }
        return expiry != null;
    }

    List<ListedHold> list() {
        return expiryMs.entrySet().stream()
                .map(entry -> new ListedHold(entry.getKey(), 1, entry.getValue() - faultRun.nowMs()))
                .toList();
    }
}
