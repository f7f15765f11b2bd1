package io.figspan.gateway.backend;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HoldHandle;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The holds on memory at several engines that one request needs. The group is complete only if all are granted. */
public final class HoldGroup {
    /** The group of a request that needs no memory at other engines. */
    public static final HoldGroup NONE = new HoldGroup();

    private final Map<BackendServerId, HoldHandle> handles = new LinkedHashMap<>();
    private int pendingHolds;
    private String failure = "";
    private Optional<BackendServerId> unresponsiveEngine = Optional.empty();

    HoldGroup() {}

    void add(BackendServerId server, HoldHandle handle) {
        handles.put(server, handle);
        pendingHolds++;
    }

    void markGranted() {
        pendingHolds--;
    }

    void markFailed(String reason) {
        failure = reason;
    }

    void markUnresponsive(BackendServerId engine, String reason) {
        unresponsiveEngine = Optional.of(engine);
        markFailed(reason);
    }

    Iterable<HoldHandle> handles() {
        return handles.values();
    }

    boolean contains(HoldHandle handle) {
        return handles.containsValue(handle);
    }

    boolean isResolved() {
        return pendingHolds == 0 || !failure.isEmpty();
    }

    /** Whether all holds are granted. */
    public boolean isComplete() {
        return pendingHolds == 0 && failure.isEmpty();
    }

    /** Reason why reserving failed, or an empty string. */
    public String failure() {
        return failure;
    }

    /** The engine whose missing response is the reason why reserving failed. */
    public Optional<BackendServerId> unresponsiveEngine() {
        return unresponsiveEngine;
    }

    /** Name of this group's hold at an engine. */
    public Optional<String> holdNameAt(BackendServerId server) {
        return Optional.ofNullable(handles.get(server)).map(HoldHandle::toString);
    }
}
