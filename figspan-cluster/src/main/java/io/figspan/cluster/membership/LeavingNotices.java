package io.figspan.cluster.membership;

import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Backend servers known to be leaving, by the newest incarnation that leaves; sticky, bounded, oldest dropped. */
final class LeavingNotices {
    /** Three times the runners of the design scale, so that none is forgotten while it drains. */
    static final int MAX_BACKENDS = 2_048;

    private static final int MAX_PER_FRAME = 4;
    private static final int MAX_BYTES_PER_FRAME = 400;
    private static final int MAX_PER_LIST = 256;
    private static final int MAX_QUEUED = 1_024;

    private final Map<BackendServerId, Long> leaving = new LinkedHashMap<>();
    private final UpdateQueue<BackendIncarnation, BackendIncarnation> queue = new UpdateQueue<>(MAX_QUEUED);

    /** Adds the notices, queues those that are news for piggybacking, and returns these. */
    List<BackendIncarnation> add(List<BackendIncarnation> backends) {
        List<BackendIncarnation> news = backends.stream().filter(this::add).toList();
        news.forEach(backend -> queue.put(backend, backend));
        return news;
    }

    /** The notices that the next frame carries. */
    List<BackendIncarnation> take(int members) {
        return queue.take(MAX_PER_FRAME, MAX_BYTES_PER_FRAME, members, UpdateQueue::sizeBytes);
    }

    /** A notice about an older incarnation than the known one is no news. */
    private boolean add(BackendIncarnation backend) {
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

    /** All notices in lists that each fit into one frame, for a host that joins. */
    List<List<BackendIncarnation>> lists() {
        List<BackendIncarnation> all = leaving.entrySet().stream()
                .map(entry -> new BackendIncarnation(entry.getKey(), entry.getValue()))
                .toList();
        List<List<BackendIncarnation>> lists = new ArrayList<>();
        for (int start = 0; start < all.size(); start += MAX_PER_LIST) {
            lists.add(all.subList(start, Math.min(all.size(), start + MAX_PER_LIST)));
        }
        return lists;
    }
}
