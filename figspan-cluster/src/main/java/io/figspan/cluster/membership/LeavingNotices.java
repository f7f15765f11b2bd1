package io.figspan.cluster.membership;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Backend servers known to be leaving, by the newest incarnation that leaves; sticky, bounded, oldest dropped. */
final class LeavingNotices {
    /** Three times the runners of the design scale, so that none is forgotten while it drains. */
    static final int MAX_BACKENDS = 2_048;

    private final Map<BackendServerId, Long> leaving = new LinkedHashMap<>();

    /** Returns whether the notice is news. A notice about an older incarnation than the known one is not. */
    boolean add(BackendIncarnation backend) {
        if (isLeaving(backend)) {
            return false;
        }
        leaving.remove(backend.server());
        if (leaving.size() >= MAX_BACKENDS) {
            leaving.remove(leaving.keySet().iterator().next());
        }
        leaving.put(backend.server(), backend.number());
        return true;
    }

    boolean isLeaving(BackendIncarnation backend) {
        Long number = leaving.get(backend.server());
        return number != null && number >= backend.number();
    }

    List<BackendIncarnation> all() {
        return leaving.entrySet().stream()
                .map(entry -> new BackendIncarnation(entry.getKey(), entry.getValue()))
                .toList();
    }
}
