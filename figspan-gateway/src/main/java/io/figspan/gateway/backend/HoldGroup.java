package io.figspan.gateway.backend;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HoldHandle;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Memory that several engines hold for one request, all of it or none. */
public final class HoldGroup {
    /** The group of a request that needs no memory elsewhere. */
    public static final HoldGroup NONE = new HoldGroup();

    private final Map<BackendServerId, HoldHandle> handles = new LinkedHashMap<>();
    private int missing;
    private String failure = "";

    HoldGroup() {}

    void add(BackendServerId server, HoldHandle handle) {
        handles.put(server, handle);
        missing++;
    }

    void granted() {
        missing--;
    }

    void failed(String reason) {
        failure = reason;
    }

    Iterable<HoldHandle> handles() {
        return handles.values();
    }

    boolean holds(HoldHandle handle) {
        return handles.containsValue(handle);
    }

    boolean isDecided() {
        return missing == 0 || !failure.isEmpty();
    }

    /** Whether all engines hold the memory. */
    public boolean isComplete() {
        return missing == 0 && failure.isEmpty();
    }

    /** Why the group is not complete, or an empty text. */
    public String failure() {
        return failure;
    }

    /** The name under which an engine holds memory of this group. */
    public Optional<String> holdNameAt(BackendServerId server) {
        return Optional.ofNullable(handles.get(server)).map(HoldHandle::toString);
    }
}
